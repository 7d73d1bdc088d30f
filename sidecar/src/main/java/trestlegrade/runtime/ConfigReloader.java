package trestlegrade.runtime;

import java.util.Map;
import java.util.function.Consumer;
import org.tinylog.Logger;
import trestlegrade.config.SidecarConfig;
import trestlegrade.config.SidecarConfigReader;
import trestlegrade.metrics.AsyncLog;

/**
 * SIGHUP: reads the configuration file anew. Discovery's address and the settings change while the sidecar runs; any
 * other value holds until the program is restarted, and the log names those that differ.
 */
final class ConfigReloader {
    private final SidecarConfig startConfig;
    private final Map<String, String> environment;
    private final AsyncLog log;
    /** Takes a configuration that has been read; hands it over to the event loop. */
    private final Consumer<SidecarConfig> target;

    ConfigReloader(
            SidecarConfig startConfig, Map<String, String> environment, AsyncLog log, Consumer<SidecarConfig> target) {
        this.startConfig = startConfig;
        this.environment = environment;
        this.log = log;
        this.target = target;
    }

    /**
     * Reads the file and hands it over. Each signal has a thread of its own; synchronized, so that the last one to read
     * is the last one to hand over.
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
        target.accept(config);
    }
}
