import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. Objects are maps, arrays are lists, integers are Long, other numbers Double. */
final class Json {
    private final String s;
    private int i;

    private Json(String s) {
        this.s = s;
    }

    static Object parse(String text) {
        Json j = new Json(text);
        Object v = j.value();
        j.space();
        if (j.i != text.length()) throw new IllegalArgumentException("text after JSON value");
        return v;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        Object v = parse(text);
        if (!(v instanceof Map)) throw new IllegalArgumentException("not an object");
        return (Map<String, Object>) v;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object v) {
        return v == null ? List.of() : (List<Object>) v;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object v) {
        return (Map<String, Object>) v;
    }

    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> m = new LinkedHashMap<>();
        for (int k = 0; k < pairs.length; k += 2) m.put((String) pairs[k], pairs[k + 1]);
        return m;
    }

    static long num(Object v) {
        return ((Number) v).longValue();
    }

    private void space() {
        while (i < s.length() && Character.isWhitespace(s.charAt(i))) i++;
    }

    private Object value() {
        space();
        if (i >= s.length()) throw new IllegalArgumentException("end of text");
        char c = s.charAt(i);
        if (c == '{') return objectValue();
        if (c == '[') return arrayValue();
        if (c == '"') return string();
        int from = i;
        while (i < s.length() && ",]} \t\r\n".indexOf(s.charAt(i)) < 0) i++;
        String word = s.substring(from, i);
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default:
                try {
                    return Long.parseLong(word);
                } catch (NumberFormatException e) {
                    return Double.parseDouble(word);
                }
        }
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> m = new LinkedHashMap<>();
        i++;
        space();
        if (s.charAt(i) == '}') {
            i++;
            return m;
        }
        while (true) {
            space();
            String key = string();
            space();
            if (s.charAt(i++) != ':') throw new IllegalArgumentException("no colon");
            m.put(key, value());
            space();
            char c = s.charAt(i++);
            if (c == '}') return m;
            if (c != ',') throw new IllegalArgumentException("no comma");
        }
    }

    private List<Object> arrayValue() {
        List<Object> l = new ArrayList<>();
        i++;
        space();
        if (s.charAt(i) == ']') {
            i++;
            return l;
        }
        while (true) {
            l.add(value());
            space();
            char c = s.charAt(i++);
            if (c == ']') return l;
            if (c != ',') throw new IllegalArgumentException("no comma");
        }
    }

    private String string() {
        if (s.charAt(i++) != '"') throw new IllegalArgumentException("no string");
        StringBuilder b = new StringBuilder();
        while (true) {
            char c = s.charAt(i++);
            if (c == '"') return b.toString();
            if (c != '\\') {
                b.append(c);
                continue;
            }
            char e = s.charAt(i++);
            switch (e) {
                case 'n': b.append('\n'); break;
                case 't': b.append('\t'); break;
                case 'r': b.append('\r'); break;
                case 'b': b.append('\b'); break;
                case 'f': b.append('\f'); break;
                case 'u':
                    b.append((char) Integer.parseInt(s.substring(i, i + 4), 16));
                    i += 4;
                    break;
                default: b.append(e);
            }
        }
    }

    static String text(Object v) {
        StringBuilder b = new StringBuilder();
        write(v, b);
        return b.toString();
    }

    private static void write(Object v, StringBuilder b) {
        if (v instanceof Map) {
            b.append('{');
            String sep = "";
            for (Map.Entry<?, ?> e : ((Map<?, ?>) v).entrySet()) {
                b.append(sep);
                write(e.getKey(), b);
                b.append(':');
                write(e.getValue(), b);
                sep = ",";
            }
            b.append('}');
        } else if (v instanceof Iterable) {
            b.append('[');
            String sep = "";
            for (Object o : (Iterable<?>) v) {
                b.append(sep);
                write(o, b);
                sep = ",";
            }
            b.append(']');
        } else if (v instanceof String) {
            b.append('"');
            for (char c : ((String) v).toCharArray()) {
                if (c == '"' || c == '\\') b.append('\\').append(c);
                else if (c < ' ') b.append(String.format("\\u%04x", (int) c));
                else b.append(c);
            }
            b.append('"');
        } else {
            b.append(v);
        }
    }
}
