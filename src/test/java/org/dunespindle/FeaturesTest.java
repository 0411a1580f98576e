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

/** The features file: what it switches on, and what is refused. */
class FeaturesTest {
    private static final String GOOD = """
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

    private static void refused(String text, String complaint) {
        var failure = assertThrows(MalformedMessageException.class, () -> parse(text));
        assertTrue(failure.getMessage().contains(complaint), failure.getMessage());
    }

    @Test
    void theDocumentedFileSwitchesNothingOn() throws Exception {
        assertEquals(
                Optional.empty(), Features.load(Path.of("deploy/features.toml")).federation());
        assertEquals(Optional.empty(), parse(""));
    }

    @Test
    void aGoodFileIsRead() throws Exception {
        FederationSettings settings = parse(GOOD).orElseThrow();
        assertEquals("graz", settings.cell());
        assertEquals("10.1.0.2:8082", settings.cells().get(0).controllers().get("spindle-1"));
        String documented =
                Files.readString(Path.of("deploy/features.toml")).replace("enabled = false", "enabled = true");
        assertEquals("here", parse(documented).orElseThrow().cell(), "the documented example is a good one");
    }

    @Test
    void complaintsNameTheField() {
        refused("[federations]\nenabled = true", "federations is unknown");
        refused(GOOD + "\n[other]", "other is unknown");
        refused(GOOD.replace("port = 0", "prot = 0"), "federation.prot is unknown");
        refused(GOOD.replace("port = 0", "port = 70000"), "federation.port must be");
        refused(GOOD.replace("enabled = true", "enabled = 1"), "federation.enabled must be");
        refused(GOOD.replace("\"graz\"", "\"Graz!\""), "federation.cell must be");
        refused(GOOD.replace("\"graz\"", "\"recife\""), "is this cell's own name");
        refused(GOOD.replace(":8082\", spindle-1", "\", spindle-1"), "controllers.spindle-0 must be address:port");
        refused("[federation]\nenabled = true\ncell = \"graz\"\nport = 1", "federation.cells must name");
    }

    @Test
    void aBrokenFileEndsTheProgramWithOneLine(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("features.toml");
        Files.writeString(file, "[federation\nenabled");
        var failure = assertThrows(MalformedMessageException.class, () -> Features.load(file));
        assertEquals(1, failure.getMessage().lines().count());
        assertThrows(MalformedMessageException.class, () -> Features.load(folder.resolve("none.toml")));
    }

    /** Classes loaded by a daemon of its own, on the class path of these tests. */
    private static final class Isolated extends URLClassLoader {
        Isolated(URL[] path) {
            super(path, ClassLoader.getPlatformClassLoader());
        }

        boolean loaded(String name) {
            return findLoadedClass(name) != null;
        }
    }

    private static Isolated isolated() throws Exception {
        var path = new ArrayList<URL>();
        for (String entry : System.getProperty("java.class.path").split(java.io.File.pathSeparator)) {
            path.add(Path.of(entry).toUri().toURL());
        }
        return new Isolated(path.toArray(new URL[0]));
    }

    @Test
    void withoutTheFeatureNoneOfItsClassesIsLoaded() throws Exception {
        List<String> feature = List.of(
                "org.dunespindle.Features",
                "org.dunespindle.FederationExtension",
                "org.dunespindle.federation.Federation",
                "org.dunespindle.federation.FederationSettings",
                "org.dunespindle.federation.grpc.GrpcCellServer",
                "io.grpc.netty.NettyServerBuilder",
                "io.grpc.ManagedChannel");
        try (Isolated loader = isolated()) {
            Class<?> settings = loader.loadClass("org.dunespindle.protocol.Settings");
            Object parsed = settings.getMethod("parse", loader.loadClass("com.fasterxml.jackson.databind.JsonNode"))
                    .invoke(null, ownFile(loader));
            var daemon = (AutoCloseable) loader.loadClass("org.dunespindle.Daemon")
                    .getConstructor(settings)
                    .newInstance(parsed);
            daemon.close();
            assertTrue(loader.loaded("org.dunespindle.controller.Controller"), "the check looks at the right loader");
            for (String name : feature) {
                assertFalse(loader.loaded(name), name);
                loader.loadClass(name); // it exists: the name above is not misspelt
            }
        }
    }

    private static Object ownFile(Isolated loader) throws Exception {
        return loader.loadClass("org.dunespindle.TestSettings")
                .getMethod("node", String.class, String.class, String.class, String.class, String.class, String.class)
                .invoke(null, "a", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", "");
    }

    @Test
    void withTheFeatureADaemonListensForOtherCells() throws Exception {
        Settings settings =
                Settings.parse(TestSettings.node("a", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", ""));
        var extension = new FederationExtension(parse(GOOD).orElseThrow());
        try (var daemon = new Daemon(settings, Optional.of(extension))) {
            assertTrue(extension.port() > 0);
            assertTrue(daemon.frontAddress().getPort() > 0);
        }
    }
}
