import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicIntegerArray;

/** All sockets of the controllers are in use for some seconds; then the users' connections are closed again. */
final class NoFreeSockets {
    private static final int SOCKETS = 700;
    /** More than the files, pipes and selectors that a controller has open besides its sockets (measured: 46). */
    private static final int OTHER_DESCRIPTORS = 60;
    /** With fewer connections the trouble did not take place. */
    private static final int LEAST_CONNECTIONS = 600;

    private static final int USERS_AT_ONCE = 16;

    static void run(String record) throws Exception {
        var cell = new Cell(record);
        cell.recife();
        cell.descriptors = SOCKETS + OTHER_DESCRIPTORS;
        cell.start();
        for (int i = 0; i < 3; i++) {
            cell.submit(cell.job("wk-00000" + i, "testegrade", "dadosabertos", 2, 6, 1, 36), 200);
        }
        cell.await("tasks run", 20, index -> cell.startedAt.size() == 6, 0);
        for (int node = 0; node < 3; node++) {
            if (cell.ask(node, "wk-000000").status() != 200) {
                cell.exit(2, "could not run: a question before the trouble was not answered");
            }
        }
        if (cell.trouble) {
            fill(cell);
        }
        double quietSince = cell.now();
        cell.record("the trouble is over");
        int answers = 0;
        int questions = 0;
        while (cell.now() < quietSince + 76) {
            var line = new StringBuilder();
            for (int node = 0; node < 3; node++) {
                int status = cell.ask(node, "wk-000000").status();
                questions++;
                answers += status == 200 || status == 404 ? 1 : 0;
                line.append(" spindle-").append(node).append(" -> ").append(status);
            }
            cell.record("ask for wk-000000:" + line);
            if (answers > 0 && (!cell.trouble || cell.now() > quietSince + 30)) {
                break;
            }
            Thread.sleep(1500);
        }
        for (int node = 0; node < 3; node++) {
            cell.record("spindle-" + node + " is alive: " + cell.isAlive(node) + ", healthy: " + cell.healthy(node));
        }
        cell.exit(
                answers == 0 ? 1 : 0,
                (answers == 0 ? "forgotten: " : "held: ") + answers + " of " + questions
                        + " questions were answered after the trouble");
    }

    /** Users connect, ask, and keep their connections open, until no node answers a new one; they stay for six seconds. */
    private static void fill(Cell cell) throws Exception {
        var open = Collections.synchronizedList(new ArrayList<Http.Client>());
        var answered = new AtomicIntegerArray(3);
        var users = new CountDownLatch(3 * USERS_AT_ONCE);
        for (int i = 0; i < 3 * USERS_AT_ONCE; i++) {
            int node = i % 3;
            Http.THREADS.execute(() -> {
                fill(cell, node, open, answered);
                users.countDown();
            });
        }
        users.await();
        cell.record("users hold answered connections, and no node answers a new one: " + answered);
        for (int node = 0; node < 3; node++) {
            if (answered.get(node) < LEAST_CONNECTIONS || answered.get(node) >= SOCKETS + OTHER_DESCRIPTORS) {
                cell.exit(2, "could not run: the node's sockets were not the limit");
            }
        }
        Thread.sleep(6000);
        open.forEach(Http.Client::close);
    }

    private static void fill(Cell cell, int node, List<Http.Client> open, AtomicIntegerArray answered) {
        for (int failed = 0; answered.get(node) < SOCKETS + OTHER_DESCRIPTORS && failed < 2; ) {
            try {
                var client = new Http.Client(cell.front(node), 2000);
                open.add(client);
                client.call("GET", "/submissions/wk-000000", null, 2000);
                answered.incrementAndGet(node);
            } catch (IOException e) {
                failed++;
            }
        }
    }
}
