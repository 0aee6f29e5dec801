package mintpick.config

/** Host and port of a listener or a server, written `host:port`. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /**
         * Parses [text], which must be `host:port` with a port from 1 to 65535.
         *
         * @param field name of the field in the settings file, for the error message
         * @throws ConfigException naming [field] if [text] has another form
         */
        fun parse(
            field: String,
            text: String,
        ): Address {
            val port = text.substringAfterLast(':', "").toIntOrNull()
            val host = text.substringBeforeLast(':', "")
            if (host.isEmpty() || port == null || port !in 1..MAX_PORT) {
                throw ConfigException("$field: ${text.quotedInOneLine()} must be host:port with a port from 1 to $MAX_PORT")
            }
            return Address(host, port)
        }
    }
}
