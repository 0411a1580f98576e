package org.dunespindle.bookkeeping;

/** Where things are kept in the state service. */
public final class Keys {
    public static final String ROOT = "ds/";
    public static final String JOB = ROOT + "job/";
    public static final String HOST = ROOT + "host/";
    public static final String TEAM = ROOT + "team/";
    public static final String MEMBER = ROOT + "member/";
    public static final String INCARNATION = ROOT + "incarnation/";
    public static final String LEADER = ROOT + "leader";
    public static final String OPTIONS = ROOT + "options";

    private Keys() {}

    public static String job(String id) {
        return JOB + id;
    }

    public static String host(String id) {
        return HOST + id;
    }

    public static String team(String name) {
        return TEAM + name;
    }

    public static String member(String node) {
        return MEMBER + node;
    }
}
