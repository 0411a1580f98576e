package org.dunespindle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Sends malformed requests to a daemon over real sockets. Each must be answered with an error that holds no stack trace. The state store and
 * the cloud are unreachable here.
 */
class DaemonTest {
    private static Daemon daemon;
    private static final HttpClient HTTP = HttpClient.newHttpClient();

    @BeforeAll
    static void start() throws Exception {
        daemon = new Daemon(
                Settings.parse(TestSettings.node("a", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1", "")));
    }

    @AfterAll
    static void stop() {
        daemon.close();
    }

    private static HttpResponse<byte[]> send(int port, String method, String path, byte[] body)
            throws IOException, InterruptedException {
        var request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .version(HttpClient.Version.HTTP_1_1)
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        return HTTP.send(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    private static HttpResponse<byte[]> front(String method, String path, byte[] body)
            throws IOException, InterruptedException {
        return send(daemon.frontAddress().getPort(), method, path, body);
    }

    private static void assertError(int status, HttpResponse<byte[]> response) throws Exception {
        assertEquals(status, response.statusCode());
        String error = MessagePackCodec.read(response.body()).path("error").asText();
        assertTrue(!error.isEmpty() && error.length() < 200 && !error.contains("Exception"), error);
    }

    @Test
    void malformedRequestsAreAnsweredWithAnError() throws Exception {
        byte[] none = new byte[0];
        assertError(400, front("POST", "/submissions", none));
        assertError(400, front("POST", "/submissions", new byte[] {(byte) 0xc1, 3, 4}));
        assertError(
                400,
                front(
                        "POST",
                        "/submissions",
                        MessagePackCodec.write(MessagePackCodec.map().put("id", 7))));
        assertError(
                400,
                front(
                        "POST",
                        "/agent/beat",
                        MessagePackCodec.write(MessagePackCodec.map().put("host", "h"))));
        assertError(404, front("GET", "/nothing", none));
        assertError(404, front("GET", "/submissions/a/b/c", none));
        assertError(405, front("GET", "/submissions", none));
        assertError(405, front("DELETE", "/submissions/wk-000001", none));
        assertError(413, front("POST", "/submissions", new byte[70_000]));
    }

    @Test
    void requestsBeforeTheStateIsLoadedAreAnsweredWithRetryAfter() throws Exception {
        var poll = front("GET", "/submissions/wk-000001", new byte[0]);
        assertError(503, poll);
        assertTrue(Integer.parseInt(poll.headers().firstValue("Retry-After").orElse("0")) >= 1);
        assertEquals(503, front("GET", "/healthz", new byte[0]).statusCode());
        assertEquals(
                503,
                send(daemon.peerAddress().getPort(), "GET", "/v1/jobs", new byte[0])
                        .statusCode());
    }

    @Test
    void pipelinedAndInvalidRequestsAreAnsweredInOrder() throws Exception {
        try (var socket = new Socket("127.0.0.1", daemon.frontAddress().getPort())) {
            socket.setSoTimeout(10_000);
            String pipelined =
                    "GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(pipelined.getBytes(StandardCharsets.US_ASCII));
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answers.indexOf("404") >= 0 && answers.indexOf("404") < answers.lastIndexOf("503"), answers);
        }
        try (var socket = new Socket("127.0.0.1", daemon.frontAddress().getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write("nonsense\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1).contains("400"));
        }
    }
}
