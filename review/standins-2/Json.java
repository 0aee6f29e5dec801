import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, arrays lists, numbers Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.space();
        if (reader.at != text.length()) throw new IllegalArgumentException("rest after the value at " + reader.at);
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** An object of the given names and values, in turn. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private Object value() {
        space();
        if (at >= text.length()) throw new IllegalArgumentException("no value");
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        switch (word) {
            case "null": return null;
            case "true": return true;
            case "false": return false;
            default:
                if (word.indexOf('.') < 0 && word.indexOf('e') < 0 && word.indexOf('E') < 0) return Long.parseLong(word);
                return Double.parseDouble(word);
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        if (text.charAt(at) == '}') { at++; return map; }
        while (true) {
            space();
            String name = string();
            space();
            if (text.charAt(at++) != ':') throw new IllegalArgumentException("no colon at " + at);
            map.put(name, value());
            space();
            char c = text.charAt(at++);
            if (c == '}') return map;
            if (c != ',') throw new IllegalArgumentException("no comma at " + at);
        }
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        if (text.charAt(at) == ']') { at++; return list; }
        while (true) {
            list.add(value());
            space();
            char c = text.charAt(at++);
            if (c == ']') return list;
            if (c != ',') throw new IllegalArgumentException("no comma at " + at);
        }
    }

    private String string() {
        if (text.charAt(at++) != '"') throw new IllegalArgumentException("no string at " + at);
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') { out.append(c); continue; }
            c = text.charAt(at++);
            switch (c) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u': out.append((char) Integer.parseInt(text.substring(at, at + 4), 16)); at += 4; break;
                default: out.append(c);
            }
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Raw) {
            out.append(((Raw) value).text);
        } else if (value instanceof String) {
            quote((String) value, out);
        } else if (value instanceof Map) {
            String comma = "{";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(comma);
                comma = ",";
                quote((String) entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
            }
            out.append(comma.equals("{") ? "{}" : "}");
        } else if (value instanceof Iterable) {
            String comma = "[";
            for (Object element : (Iterable<?>) value) {
                out.append(comma);
                comma = ",";
                write(element, out);
            }
            out.append(comma.equals("[") ? "[]" : "]");
        } else {
            out.append(value);
        }
    }

    private static void quote(String text, StringBuilder out) {
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        out.append('"');
    }

    /** JSON that is already written. */
    static final class Raw {
        final String text;

        Raw(String text) {
            this.text = text;
        }
    }
}
