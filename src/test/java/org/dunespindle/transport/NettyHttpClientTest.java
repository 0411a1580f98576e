package org.dunespindle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests the client's limits on response size, request time and idle connections over real sockets. */
class NettyHttpClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final NioEventLoopGroup GROUP = new NioEventLoopGroup(1);
    private static final AtomicInteger REQUESTS = new AtomicInteger();
    private static Channel server;
    private static String address;

    @BeforeAll
    static void start() throws Exception {
        server = NettyHttpServer.open(
                GROUP,
                new InetSocketAddress("127.0.0.1", 0),
                1 << 16,
                (request, answer) -> {
                    REQUESTS.incrementAndGet();
                    int length = Integer.parseInt(request.path().substring(1));
                    answer.accept(new HttpServerResponse(
                            200,
                            "text/plain",
                            new byte[length],
                            Optional.empty(),
                            request.query().equals("last")));
                },
                status -> new HttpServerResponse(status, "text/plain", new byte[0], Optional.empty()),
                new ConnectionBudget(100));
        address = "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    @AfterAll
    static void stop() {
        server.close();
        GROUP.shutdownGracefully();
    }

    private static HttpClientResponse get(NettyHttpClient http, int length) throws Exception {
        return GROUP.next()
                .submit(() -> http.send(address, "GET", "/" + length, new byte[0], "text/plain", TIMEOUT))
                .get()
                .get();
    }

    @Test
    void aTooLongResponseFailsItsRequestAndTheNextRequestSucceeds() throws Exception {
        var http = new NettyHttpClient(GROUP.next(), 4, new ConnectionBudget(100));
        assertEquals(1 << 20, get(http, 1 << 20).body().length);
        var failure = assertThrows(ExecutionException.class, () -> get(http, 5 << 20));
        assertInstanceOf(ResponseTooLongException.class, failure.getCause());
        assertEquals(5, get(http, 5).body().length);
    }

    /** After a pause of the process, the event loop handles completed connects before overdue timers; the request is then outdated. */
    @Test
    void aRequestThatConnectsAfterItsDeadlineIsNotSent() throws Exception {
        var http = new NettyHttpClient(GROUP.next(), 4, new ConnectionBudget(100));
        int before = REQUESTS.get();
        var call = GROUP.next()
                .submit(() -> {
                    var result = http.send(address, "GET", "/7", new byte[0], "text/plain", Duration.ofMillis(1));
                    Thread.sleep(60); // blocks the event loop
                    return result;
                })
                .get();
        var failure = assertThrows(ExecutionException.class, call::get);
        assertEquals(false, ((HttpCallException) failure.getCause()).sent());
        assertEquals(3, get(http, 3).body().length);
        assertEquals(before + 1, REQUESTS.get());
    }

    @Test
    void noConnectionIsKeptIdleWhileSocketsAreScarce() throws Exception {
        var sockets = new ConnectionBudget(60);
        var http = new NettyHttpClient(GROUP.next(), 4, sockets);
        get(http, 1);
        assertEquals(false, sockets.scarce());
        for (int i = 0; i < 40; i++) {
            GROUP.next().submit(sockets::opened).get();
        }
        assertTrue(sockets.scarce());
        get(http, 1);
        for (int i = 0; i < 40; i++) {
            GROUP.next().submit(sockets::closed).get();
        }
        // Connections are scarce from 30 on. An idle connection that was kept would be the 30th here.
        for (int i = 0; i < 29; i++) {
            GROUP.next().submit(sockets::opened).get();
        }
        assertEquals(false, sockets.scarce());
    }

    @Test
    void theConnectionIsClosedAfterTheLastResponse() throws Exception {
        try (var socket = new Socket("127.0.0.1", ((InetSocketAddress) server.localAddress()).getPort())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream()
                    .write("GET /3?last HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        }
    }
}
