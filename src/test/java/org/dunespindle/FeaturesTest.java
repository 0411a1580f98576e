package org.dunespindle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dunespindle.federation.FederationSettings;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which features a features file enables and which files are rejected, and that a disabled feature loads no classes. */
class FeaturesTest {
    private static final String VALID = """
            [federation]
            enabled = true
            cell = "graz"
            port = 0
            [[federation.cells]]
            name = "recife"
            controllers = { spindle-0 = "10.1.0.1:8082", spindle-1 = "10.1.0.2:8082" }
            """;

    private static Optional<FederationSettings> parse(String text) throws Exception {
        return Features.parse(new TomlMapper().readTree(text)).federation();
    }

    private static void assertRejected(String text, String error) {
        var failure = assertThrows(MalformedMessageException.class, () -> parse(text));
        assertTrue(failure.getMessage().contains(error), failure.getMessage());
    }

    @Test
    void theDocumentedFileEnablesNothing() throws Exception {
        assertEquals(
                Optional.empty(), Features.load(Path.of("deploy/features.toml")).federation());
        assertEquals(Optional.empty(), parse(""));
    }

    @Test
    void aValidFileIsRead() throws Exception {
        FederationSettings settings = parse(VALID).orElseThrow();
        assertEquals("graz", settings.cell());
        assertEquals("10.1.0.2:8082", settings.cells().get(0).controllers().get("spindle-1"));
        String documented =
                Files.readString(Path.of("deploy/features.toml")).replace("enabled = false", "enabled = true");
        assertEquals("here", parse(documented).orElseThrow().cell(), "the documented example is valid");
    }

    @Test
    void errorsNameTheField() {
        assertRejected("[federations]\nenabled = true", "federations is unknown");
        assertRejected(VALID + "\n[other]", "other is unknown");
        assertRejected(VALID.replace("port = 0", "prot = 0"), "federation.prot is unknown");
        assertRejected(VALID.replace("port = 0", "port = 70000"), "federation.port must be");
        assertRejected(VALID.replace("enabled = true", "enabled = 1"), "federation.enabled must be");
        assertRejected(VALID.replace("\"graz\"", "\"Graz!\""), "federation.cell must be");
        assertRejected(VALID.replace("\"graz\"", "\"recife\""), "is this cell's own name");
        assertRejected(
                VALID.replace(":8082\", spindle-1", "\", spindle-1"), "controllers.spindle-0 must be address:port");
        assertRejected("[federation]\nenabled = true\ncell = \"graz\"\nport = 1", "federation.cells must name");
    }

    @Test
    void aFileThatIsNotTomlIsRejectedWithAOneLineError(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("features.toml");
        Files.writeString(file, "[federation\nenabled");
        var failure = assertThrows(MalformedMessageException.class, () -> Features.load(file));
        assertEquals(1, failure.getMessage().lines().count());
        assertThrows(MalformedMessageException.class, () -> Features.load(folder.resolve("none.toml")));
    }

    /** Loads its own copies of the classes on the tests' class path and shows which classes a daemon has loaded. */
    private static final class IsolatedClassLoader extends URLClassLoader {
        IsolatedClassLoader(URL[] path) {
            super(path, ClassLoader.getPlatformClassLoader());
        }

        boolean loaded(String name) {
            return findLoadedClass(name) != null;
        }
    }

    private static IsolatedClassLoader isolatedClassLoader() throws Exception {
        var path = new ArrayList<URL>();
        for (String entry : System.getProperty("java.class.path").split(java.io.File.pathSeparator)) {
            path.add(Path.of(entry).toUri().toURL());
        }
        return new IsolatedClassLoader(path.toArray(new URL[0]));
    }

    @Test
    void noneOfADisabledFeaturesClassesIsLoaded() throws Exception {
        List<String> featureClasses = List.of(
                "org.dunespindle.Features",
                "org.dunespindle.FederationExtension",
                "org.dunespindle.federation.Federation",
                "org.dunespindle.federation.FederationSettings",
                "org.dunespindle.federation.grpc.GrpcCellServer",
                "io.grpc.netty.NettyServerBuilder",
                "io.grpc.ManagedChannel");
        try (IsolatedClassLoader loader = isolatedClassLoader()) {
            Class<?> settings = loader.loadClass("org.dunespindle.protocol.Settings");
            Object parsed = settings.getMethod("parse", loader.loadClass("com.fasterxml.jackson.databind.JsonNode"))
                    .invoke(null, settingsFile(loader));
            var daemon = (AutoCloseable) loader.loadClass("org.dunespindle.Daemon")
                    .getConstructor(settings)
                    .newInstance(parsed);
            daemon.close();
            assertTrue(loader.loaded("org.dunespindle.controller.Controller"), "the daemon uses this class loader");
            for (String name : featureClasses) {
                assertFalse(loader.loaded(name), name);
                loader.loadClass(name); // fails if the name above is misspelt
            }
        }
    }

    private static Object settingsFile(IsolatedClassLoader loader) throws Exception {
        return loader.loadClass("org.dunespindle.TestSettings")
                .getMethod("node", String.class, String.class, String.class, String.class, String.class, String.class)
                .invoke(null, "a", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", "");
    }

    @Test
    void withTheFederationEnabledADaemonListensForOtherCells() throws Exception {
        Settings settings =
                Settings.parse(TestSettings.node("a", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", ""));
        var extension = new FederationExtension(parse(VALID).orElseThrow());
        try (var daemon = new Daemon(settings, Optional.of(extension))) {
            assertTrue(extension.port() > 0);
            assertTrue(daemon.frontAddress().getPort() > 0);
        }
    }
}
