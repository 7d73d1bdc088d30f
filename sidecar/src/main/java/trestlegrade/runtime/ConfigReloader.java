package trestlegrade.runtime;

import java.util.Map;
import java.util.function.Consumer;
import org.tinylog.Logger;
import trestlegrade.config.SidecarConfig;
import trestlegrade.config.SidecarConfigReader;
import trestlegrade.metrics.AsyncLog;

/**
 * Reads the configuration file again on SIGHUP. Discovery's address and the settings take effect while the sidecar
 * runs. All other values stay as they were at the start until the process restarts, and the log names those that
 * differ.
 */
final class ConfigReloader {
    private final SidecarConfig startConfig;
    private final Map<String, String> environment;
    private final AsyncLog log;
    /** Applies a configuration that has been read, on the event loop. */
    private final Consumer<SidecarConfig> applier;

    ConfigReloader(
            SidecarConfig startConfig, Map<String, String> environment, AsyncLog log, Consumer<SidecarConfig> applier) {
        this.startConfig = startConfig;
        this.environment = environment;
        this.log = log;
        this.applier = applier;
    }

    /**
     * Reads the file and applies it. Synchronized, because each signal is handled on its own thread and the file that
     * was read last has to be applied last.
     */
    synchronized void reload() {
        SidecarConfig config;
        try {
            config = SidecarConfigReader.read(environment);
        } catch (RuntimeException e) {
            log.add(() -> Logger.warn("reload code=unreadable cause={}", e.getMessage()));
            return;
        }
        log.add(() -> Logger.info(
                "reload code=read discovery={} at_restart={}",
                config.discovery(),
                startConfig.keysRequiringRestart(config)));
        applier.accept(config);
    }
}
