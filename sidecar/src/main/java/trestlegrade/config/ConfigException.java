package trestlegrade.config;

/** Thrown if the configuration is invalid; names the key that is missing or has an invalid value. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String keyPath;

    /**
     * Creates an exception for one key.
     *
     * @param keyPath path of the key within the file, joined by dots, or the name of an environment variable
     * @param reason why the value is invalid
     */
    public ConfigException(String keyPath, String reason) {
        this(keyPath, keyPath + ": " + reason, null);
    }

    private ConfigException(String keyPath, String message, Throwable cause) {
        super(message, cause);
        this.keyPath = keyPath;
    }

    /** Returns an exception for one setting, given its path within the settings. */
    static ConfigException ofSetting(String settingPath, String reason) {
        return new ConfigException(settingPath, "setting " + settingPath + ": " + reason, null);
    }

    /** Returns this exception with the key path and the message prefixed by a section of the configuration file. */
    ConfigException within(String section) {
        return new ConfigException(section + "." + keyPath, section + ": " + getMessage(), this);
    }

    /** Returns the path of the key that is missing or has an invalid value. */
    public String keyPath() {
        return keyPath;
    }
}
