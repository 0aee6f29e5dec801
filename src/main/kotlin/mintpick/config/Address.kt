package mintpick.config

/** Host and port of a listener or a server; as text `host:port`. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /**
         * The address in [text], which is `host:port` with a port from 1 to 65535.
         *
         * @param field name of the field in the settings, for the error
         * @throws ConfigException naming [field] if [text] is anything else
         */
        fun parse(
            field: String,
            text: String,
        ): Address {
            val port = text.substringAfterLast(':', "").toIntOrNull()
            val host = text.substringBeforeLast(':', "")
            if (host.isEmpty() || port == null || port !in 1..MAX_PORT) throw ConfigException("$field: not host:port")
            return Address(host, port)
        }
    }
}
