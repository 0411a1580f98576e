package org.dunespindle.storage;

/** Where things are kept in the state service. */
public final class Keys {
    public static final String ROOT = "ds/";
    public static final String JOB = ROOT + "job/";
    /** Machines are kept several to a record: what concerns them together then costs one write. */
    public static final String PAGE = ROOT + "page/";

    public static final String TEAM = ROOT + "team/";
    public static final String MEMBER = ROOT + "member/";
    public static final String INCARNATION = ROOT + "incarnation/";
    public static final String LEADER = ROOT + "leader";
    public static final String OPTIONS = ROOT + "options";
    /** The version of the stored forms, see {@link FormatVersion}. */
    public static final String FORMAT = ROOT + "format";
    /** Parts of jobs' records that do not fit into one value. */
    public static final String PART = ROOT + "part/";

    /** This cell's identity among others. */
    public static final String FEDERATION = ROOT + "federation";
    /** What is known of other cells. */
    public static final String CELL = ROOT + "cell/";

    private Keys() {}

    /** The key of a job's record. */
    public static String job(String id) {
        return JOB + id;
    }

    /** The key of a part of a job's record, counted from 0. */
    public static String part(String id, int index) {
        return PART + id + "/" + index;
    }

    /** The record that a machine is kept in. */
    public static String machinePage(String id) {
        return PAGE + machinePageName(id);
    }

    /** Machines whose names differ in the last character only share a page; names are given in rising order. */
    public static String machinePageName(String host) {
        return host.length() > 1 ? host.substring(0, host.length() - 1) : host;
    }

    /** The key of a team's record. */
    public static String team(String name) {
        return TEAM + name;
    }

    /** The key of what is known of another cell. */
    public static String cell(String name) {
        return CELL + name;
    }

    /** The key of a controller's membership. */
    public static String member(String node) {
        return MEMBER + node;
    }
}
