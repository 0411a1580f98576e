import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A machine loses its network twice within seconds. While it is away the first time, the transaction that gives up a task not started there gets no answer
 * and is carried out late.
 */
final class LateRelease {
    private static final double LATE_BY_S = 10;

    private LateRelease() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        var record = new Record(Path.of(args[0]).resolve("record.txt"));
        Path folder = Files.createTempDirectory("dunespindle-review");
        var controllers = new Controllers(3, folder, record, Recife.RESTART_DELAY_S);
        var state = Recife.state();
        Platform platform = Recife.platform(record, controllers);
        platform.maxMachines = 2;
        platform.fetchS = 0.3;
        platform.runS = 600;
        platform.nextHost = 9; // two machines with records on different pages
        int statePort = Http.serve(state::answer);
        int cloudPort = Http.serve(platform::cloud);
        for (int node = 0; node < 3; node++) {
            controllers.settings(node, Recife.ZONES.get(node), cloudPort, statePort, Recife.SETTINGS);
            controllers.start(node);
        }
        platform.start();
        int result = run(trouble, record, controllers, state, platform);
        controllers.close();
        record.line("result %d", result);
        System.exit(result);
    }

    private static boolean submit(Users users, Platform platform, String id, int pieces) throws InterruptedException {
        synchronized (platform) {
            platform.submissions.put(id, Recife.testSuites(id, pieces));
        }
        for (int tries = 0; tries < 10; tries++) {
            if (List.of(200, 201).contains(users.submit(0, Recife.testSuites(id, pieces)).status())) {
                return true;
            }
            Thread.sleep(1000);
        }
        return false;
    }

    private interface Condition {
        boolean holds();
    }

    private static boolean await(Record record, double seconds, Condition condition) throws InterruptedException {
        double until = record.seconds() + seconds;
        while (record.seconds() < until) {
            if (condition.holds()) {
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    private static int run(boolean trouble, Record record, Controllers controllers, State state, Platform platform)
            throws Exception {
        var users = new Users(record, controllers);
        if (!users.awaitHealthy(25)) {
            return 2;
        }
        // One machine is full, the other has room for one more task.
        submit(users, platform, "wk-000001", 8);
        if (!await(record, 30, () -> platform.count("wk-000001", "running") == 8)) {
            return 2;
        }
        submit(users, platform, "wk-000002", 7);
        if (!await(record, 30, () -> platform.count("wk-000002", "running") == 7)) {
            return 2;
        }
        Thread.sleep(14_000);
        Worker machine = platform.workerOf("wk-000002/0");
        if (trouble) {
            synchronized (platform) {
                machine.cut(true);
            }
        }
        submit(users, platform, "wk-000003", 1);
        if (trouble) {
            Thread.sleep(3500);
            state.lateWrites(20, LATE_BY_S, record);
            if (!await(record, 20, () -> state.lateCount() > 0)) {
                return 2;
            }
            Thread.sleep(300);
            state.lateWritesEnd();
            synchronized (platform) {
                machine.cut(false);
            }
        }
        double carriedOutAt = record.seconds() + LATE_BY_S - 0.3;
        await(record, LATE_BY_S - 3, () -> platform.count("wk-000003", "running") == 1);
        Thread.sleep(Math.max(0, (long) ((carriedOutAt - 2 - record.seconds()) * 1000)));
        users.withdraw(0, "wk-000001"); // makes room on the other machine
        Thread.sleep(Math.max(0, (long) ((carriedOutAt - 1 - record.seconds()) * 1000)));
        if (trouble) {
            synchronized (platform) {
                machine.cut(true);
            }
        }
        Thread.sleep(9000);
        for (int node = 0; node < 3; node++) {
            users.poll(node, "wk-000003");
        }
        return platform.broken.isEmpty() ? 0 : 1;
    }
}
