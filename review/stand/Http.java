import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;

/** HTTP/1.1 with MessagePack bodies on loopback, with the JDK's own server and client. */
final class Http {
    static final String HOST = "127.0.0.1";
    static final ExecutorService THREADS = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(THREADS)
            .build();

    private static final Random PORTS = new Random();

    record Reply(int status, JsonNode body) {}

    interface Handler {
        /** Null: no answer, the connection is closed. */
        Reply answer(String method, URI target, JsonNode body) throws Exception;
    }

    private Http() {}

    static JsonNode read(byte[] bytes) {
        try {
            return bytes.length == 0 ? MessagePackCodec.map() : MessagePackCodec.read(bytes);
        } catch (MalformedMessageException e) {
            return MessagePackCodec.map();
        }
    }

    static int serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(HOST, 0), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> handle(exchange, handler));
        server.start();
        return server.getAddress().getPort();
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            JsonNode body = read(exchange.getRequestBody().readAllBytes());
            Reply reply = handler.answer(exchange.getRequestMethod(), exchange.getRequestURI(), body);
            if (reply != null) {
                byte[] bytes = MessagePackCodec.write(reply.body);
                exchange.getResponseHeaders().set("Content-Type", "application/msgpack");
                exchange.sendResponseHeaders(reply.status, bytes.length);
                exchange.getResponseBody().write(bytes);
            }
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            e.printStackTrace();
        }
    }

    /** Status 0: no answer within the time, or no connection. */
    static Reply call(int port, String method, String path, JsonNode body, Duration timeout) {
        var publisher = body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(MessagePackCodec.write(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path))
                .method(method, publisher)
                .header("Content-Type", "application/msgpack")
                .timeout(timeout)
                .build();
        try {
            HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return new Reply(response.statusCode(), read(response.body()));
        } catch (IOException e) {
            return new Reply(0, MessagePackCodec.map().put("error", String.valueOf(e)));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static String parameter(URI target, String name, String otherwise) {
        String query = target.getQuery() == null ? "" : target.getQuery();
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return otherwise;
    }

    /** A free port below the range that outgoing connections use, so that none of them takes it before its listener is open. */
    static int freePort() throws IOException {
        for (int tries = 0; tries < 1000; tries++) {
            int port = 12_000 + PORTS.nextInt(18_000);
            try (var socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(HOST, port));
                return port;
            } catch (BindException e) {
                // In use; the next one.
            }
        }
        throw new IOException("no free port");
    }
}
