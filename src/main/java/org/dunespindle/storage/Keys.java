package org.dunespindle.storage;

/** The layout of keys in the state store. */
public final class Keys {
    /** The prefix of all keys. */
    public static final String ROOT = "ds/";
    /** The prefix of jobs' records, see {@link JobRecord}. */
    public static final String JOB = ROOT + "job/";
    /** The prefix of pages of machine records, see {@link MachineRecord}. Changes of several machines on a page cost one write. */
    static final String MACHINE_PAGE = ROOT + "page/";
    /** The prefix of teams' quota records. */
    public static final String TEAM = ROOT + "team/";
    /** The prefix of live controllers' membership records, each of which is removed when the controller's lease expires. */
    static final String MEMBER = ROOT + "member/";
    /** The prefix of controllers' incarnation numbers. */
    public static final String INCARNATION = ROOT + "incarnation/";
    /** The key of the leader's record. */
    public static final String LEADER = ROOT + "leader";
    /** The key of the runtime options set by operators. */
    public static final String OPTIONS = ROOT + "options";
    /** The key of the stored format version, see {@link FormatVersion}. */
    public static final String FORMAT = ROOT + "format";
    /** The prefix of chunks of jobs' records that do not fit into one value. */
    public static final String CHUNK = ROOT + "part/";
    /** The key of this cell's identity in the federation. */
    public static final String FEDERATION = ROOT + "federation";
    /** The prefix of records of other cells. */
    static final String CELL = ROOT + "cell/";

    private Keys() {}

    /** The key of a job's record. */
    public static String job(String id) {
        return JOB + id;
    }

    /** The key of a chunk of a job's record; chunk indices start at 0. */
    static String chunk(String id, int index) {
        return CHUNK + id + "/" + index;
    }

    /** The key of the page that contains a machine's record. */
    public static String machinePage(String machineId) {
        return MACHINE_PAGE + machinePageName(machineId);
    }

    /** The name of a machine's page. Machine ids ascend, and ids that differ only in the last character share a page. */
    public static String machinePageName(String machineId) {
        return machineId.length() > 1 ? machineId.substring(0, machineId.length() - 1) : machineId;
    }

    /** The key of a team's quota record. */
    public static String team(String name) {
        return TEAM + name;
    }

    /** The key of another cell's record. */
    public static String cell(String name) {
        return CELL + name;
    }

    /** The key of a controller's membership record. */
    public static String member(String node) {
        return MEMBER + node;
    }
}
