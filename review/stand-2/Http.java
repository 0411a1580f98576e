import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** HTTP/1.1 with MessagePack bodies on loopback, blocking: a server with a thread for each connection, and a client. */
final class Http {
    static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        var thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    private Http() {}

    static ObjectNode map() {
        return MAPPER.createObjectNode();
    }

    record Request(String method, String path, String query, JsonNode body) {}

    /** Status 0: no answer came. A server that answers with status 0 drops the connection. */
    record Reply(int status, JsonNode body) {}

    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    /** Listens on a free port until the process ends. */
    static int serve(Handler handler) throws IOException {
        var server = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());
        THREADS.execute(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    THREADS.execute(() -> connection(socket, handler));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server.getLocalPort();
    }

    private static void connection(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String first = line(in);
                if (first == null) {
                    return;
                }
                String[] words = first.split(" ");
                byte[] body = body(in);
                int mark = words[1].indexOf('?');
                Reply reply = handler.handle(new Request(
                        words[0],
                        mark < 0 ? words[1] : words[1].substring(0, mark),
                        mark < 0 ? "" : words[1].substring(mark + 1),
                        body.length == 0 ? map() : MAPPER.readTree(body)));
                if (reply.status == 0) {
                    return;
                }
                byte[] bytes = MAPPER.writeValueAsBytes(reply.body);
                String head = "HTTP/1.1 " + reply.status + " x\r\nContent-Type: application/msgpack\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n";
                socket.getOutputStream().write(join(head.getBytes(StandardCharsets.US_ASCII), bytes));
            }
        } catch (Exception e) {
            // The peer is gone.
        }
    }

    private static byte[] join(byte[] one, byte[] other) {
        var all = new ByteArrayOutputStream();
        all.writeBytes(one);
        all.writeBytes(other);
        return all.toByteArray();
    }

    private static String line(InputStream in) throws IOException {
        var text = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return text.toString().trim();
            }
            text.append((char) c);
        }
        return null;
    }

    private static byte[] body(InputStream in) throws IOException {
        int length = 0;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            }
        }
        return in.readNBytes(length);
    }

    /** A connection of a user or a worker, kept open between requests. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(int port, int timeoutMs) throws IOException {
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMs);
                socket.setTcpNoDelay(true);
                in = new BufferedInputStream(socket.getInputStream());
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        Reply call(String method, String path, JsonNode body, int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body == null ? new byte[0] : MAPPER.writeValueAsBytes(body);
            String head = method + " " + path + " HTTP/1.1\r\nHost: loopback\r\nContent-Length: " + bytes.length
                    + "\r\n\r\n";
            socket.getOutputStream().write(join(head.getBytes(StandardCharsets.US_ASCII), bytes));
            String first = line(in);
            if (first == null) {
                throw new IOException("closed");
            }
            int status = Integer.parseInt(first.split(" ")[1]);
            byte[] answer = body(in);
            return new Reply(status, status == 200 || status == 201 || status == 421 ? read(answer) : map());
        }

        private static JsonNode read(byte[] answer) {
            try {
                return answer.length == 0 ? map() : MAPPER.readTree(answer);
            } catch (IOException e) {
                return map();
            }
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    /** One request on a connection of its own; status 0 if no answer came in time. */
    static Reply call(int port, String method, String path, JsonNode body, int timeoutMs) {
        try (var client = new Client(port, timeoutMs)) {
            return client.call(method, path, body, timeoutMs);
        } catch (IOException | RuntimeException e) {
            return new Reply(0, map());
        }
    }
}
