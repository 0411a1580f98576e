/** Starts a case by its name; whatever goes wrong in the test itself ends it with 2. */
public final class Case {
    private static final long MOST_MS = 117_000;

    public static void main(String[] args) {
        var watch = new Thread(() -> {
            try {
                Thread.sleep(MOST_MS);
                System.out.println("could not run: the case took too long");
                System.exit(2);
            } catch (InterruptedException e) {
                // The case is over.
            }
        });
        watch.setDaemon(true);
        watch.start();
        try {
            switch (args[0]) {
                case "no-free-sockets" -> NoFreeSockets.run(args[1]);
                case "all-end", "leader-still", "leader-ends-out", "alone" -> HungMachines.run(args[1], args[0]);
                case "no-capacity" -> NoCapacity.run(args[1]);
                default -> throw new IllegalArgumentException(args[0]);
            }
            throw new IllegalStateException("the case ended without a result");
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
            System.exit(2);
        }
    }
}
