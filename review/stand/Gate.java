import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;

/** A proxy before a worker's listener. While it is shut, as without a network, connections are reset and new ones refused. */
final class Gate {
    private final int target;
    private final int port;
    private final Set<Socket> open = new HashSet<>();
    private ServerSocket listener;

    Gate(int target) throws IOException {
        this.target = target;
        listener = listen(0);
        port = listener.getLocalPort();
        accept(listener);
    }

    int port() {
        return port;
    }

    private static ServerSocket listen(int port) throws IOException {
        var socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(Http.HOST, port), 64);
        return socket;
    }

    private void accept(ServerSocket socket) {
        Http.THREADS.execute(() -> {
            while (!socket.isClosed()) {
                try {
                    Socket client = socket.accept();
                    var server = new Socket(Http.HOST, target);
                    add(client);
                    add(server);
                    pump(client, server);
                    pump(server, client);
                } catch (IOException e) {
                    // The gate was shut.
                }
            }
        });
    }

    private synchronized void add(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        open.add(socket);
    }

    private void pump(Socket from, Socket to) {
        Http.THREADS.execute(() -> {
            byte[] buffer = new byte[16 << 10];
            try {
                for (int n = from.getInputStream().read(buffer); n >= 0; n = from.getInputStream().read(buffer)) {
                    to.getOutputStream().write(buffer, 0, n);
                }
            } catch (IOException e) {
                // Closed by one side.
            }
            close(from);
            close(to);
        });
    }

    private synchronized void close(Socket socket) {
        open.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // Already closed.
        }
    }

    synchronized void shut(boolean on) throws IOException {
        if (on) {
            listener.close();
            for (Socket socket : Set.copyOf(open)) {
                socket.setSoLinger(true, 0);
                close(socket);
            }
        } else {
            listener = listen(port);
            accept(listener);
        }
    }
}
