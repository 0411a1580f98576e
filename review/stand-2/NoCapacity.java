import com.fasterxml.jackson.databind.node.ObjectNode;

/** One zone has no machines to rent. A gang bound to it waits, and behind it a gang of the same team for which there is room. */
final class NoCapacity {
    private static final double MOST_WAIT_S = 90;

    private NoCapacity() {}

    static void run(String record) throws Exception {
        var cell = new Cell(record);
        cell.recife();
        cell.cloud.without = cell.trouble ? "olinda" : null;
        cell.start();
        cell.submit(gang(cell, "wk-000201", "olinda"), 20);
        Thread.sleep(1000);
        cell.submit(gang(cell, "wk-000202", "boaviagem"), 20);
        double roomSince = 0;
        while (cell.now() < 112) {
            long up = cell.cloud.machines.values().stream()
                    .filter(machine -> machine.dune.equals("boaviagem") && machine.isUp())
                    .count();
            if (roomSince == 0 && up >= 2) {
                roomSince = cell.now();
                cell.record("two machines in boaviagem are up, with room for wk-000202");
            } else if (roomSince > 0 && up < 2) {
                roomSince = 0;
                cell.record("there is no more room for wk-000202");
            }
            if (cell.runningAt.containsKey("wk-000202")) {
                cell.exit(0, "held: wk-000202 runs after %.1f s".formatted(cell.now()));
            }
            if (roomSince > 0 && cell.now() > roomSince + MOST_WAIT_S + 1) {
                cell.exit(1, "waits beside room: wk-000202 has waited for more than 90 s beside two machines that fit: "
                        + cell.ask(0, "wk-000202").body());
            }
            Thread.sleep(100);
        }
        cell.exit(2, "could not run: there was not room for long enough");
    }

    private static ObjectNode gang(Cell cell, String id, String dune) {
        return cell.job(id, "treinolote", "nucleo", 2, 57, 8, 310)
                .put("shape", "group")
                .put("rank", "urgent")
                .put("dune", dune);
    }
}
