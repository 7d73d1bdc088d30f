package trestlegrade.config;

/** The configuration cannot be used; names the key that is missing or has an unusable value. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String keyPath;

    /**
     * Complains of one key.
     *
     * @param keyPath path of the key within the file, its parts joined by dots, or name of an environment variable
     * @param reason what is wrong with its value
     */
    public ConfigException(String keyPath, String reason) {
        this(keyPath, keyPath + ": " + reason, null);
    }

    private ConfigException(String keyPath, String message, Throwable cause) {
        super(message, cause);
        this.keyPath = keyPath;
    }

    /** Complains of one setting, by its path within the settings. */
    static ConfigException ofSetting(String settingPath, String reason) {
        return new ConfigException(settingPath, "setting " + settingPath + ": " + reason, null);
    }

    /** Returns the same complaint, of a setting that stands in the configuration file. */
    ConfigException within(String section) {
        return new ConfigException(section + "." + keyPath, section + ": " + getMessage(), this);
    }

    /** Returns the path of the key that is missing or unusable. */
    public String keyPath() {
        return keyPath;
    }
}
