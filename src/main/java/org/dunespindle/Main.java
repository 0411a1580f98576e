package org.dunespindle;

import java.nio.file.Path;
import java.util.Optional;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Settings;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/** The entry point: {@code --config FILE} runs a controller until the process is ended, subcommands call a running controller. */
public final class Main {
    private static final int EXIT_BAD_SETTINGS = 2;

    private Main() {}

    /** Runs a controller or an administration command. */
    public static void main(String[] args) {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", "warn");
        // Netty would otherwise search the network interfaces for a machine id, which is not needed here.
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        // The platform's own command line is handled without picocli: its classes have too old a version for the class
        // archive, and loading them takes well over a second of each start on a seventh of a core.
        if (args.length == 2 && args[0].equals("--config")) {
            System.exit(serve(Path.of(args[1]), Optional.empty()));
        }
        if (args.length == 4 && args[0].equals("--features") && args[2].equals("--config")) {
            System.exit(serve(Path.of(args[3]), Optional.of(Path.of(args[1]))));
        }
        System.exit(new CommandLine(spec()).setExecutionStrategy(Main::execute).execute(args));
    }

    private static CommandSpec spec() {
        CommandSpec spec = CommandSpec.create()
                .name("dunespindle")
                .mixinStandardHelpOptions(true)
                .version("dunespindle 0.1.0");
        spec.usageMessage().description("A cluster scheduler: runs job arrays, gangs and services on rented machines.");
        spec.addOption(OptionSpec.builder("--config")
                .paramLabel("FILE")
                .type(Path.class)
                .description("Run a controller with this settings file (TOML).")
                .build());
        spec.addOption(OptionSpec.builder("--features")
                .paramLabel("FILE")
                .type(Path.class)
                .description("Enable the features that this file (TOML) switches on.")
                .build());
        CommandSpec classArchiveTraining = CommandSpec.create().name("train-class-archive");
        classArchiveTraining
                .usageMessage()
                .description("Run briefly against fixed answers to record the build's class archive.")
                .hidden(true);
        spec.addSubcommand("train-class-archive", classArchiveTraining);
        AdminCommands.addTo(spec);
        return spec;
    }

    private static int execute(ParseResult parsed) {
        if (parsed.hasSubcommand()) {
            ParseResult sub = parsed.subcommand();
            return sub.commandSpec().name().equals("train-class-archive")
                    ? ClassArchiveTraining.run()
                    : AdminCommands.run(sub);
        }
        Path file = parsed.matchedOptionValue("--config", null);
        if (file == null) {
            parsed.commandSpec().commandLine().usage(System.err);
            return EXIT_BAD_SETTINGS;
        }
        return serve(file, Optional.ofNullable(parsed.matchedOptionValue("--features", null)));
    }

    private static int serve(Path file, Optional<Path> features) {
        Settings settings;
        try {
            settings = Settings.load(file);
        } catch (MalformedMessageException e) {
            System.err.println("dunespindle: settings: " + e.getMessage());
            return EXIT_BAD_SETTINGS;
        }
        Optional<Daemon.Extension> extension = Optional.empty();
        try {
            if (features.isPresent()) {
                extension = Features.load(features.get()).federation().map(FederationExtension::new);
            }
        } catch (MalformedMessageException e) {
            System.err.println("dunespindle: features: " + e.getMessage());
            return EXIT_BAD_SETTINGS;
        }
        try (var daemon = new Daemon(settings, extension)) {
            daemon.awaitEnd();
            return 0;
        } catch (InterruptedException e) {
            return 1;
        } catch (RuntimeException e) {
            System.err.println("dunespindle: cannot go on: " + e.getMessage());
            return 1;
        }
    }
}
