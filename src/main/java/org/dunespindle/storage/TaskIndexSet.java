package org.dunespindle.storage;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;

/** Formats sets of task indices as ranges such as {@code 0-15,17}, which keeps records small. */
final class TaskIndexSet {
    private TaskIndexSet() {}

    /** Formats indices in ascending order. */
    static String format(IntList sorted) {
        var text = new StringBuilder();
        for (int i = 0; i < sorted.size(); ) {
            int first = sorted.getInt(i);
            int last = first;
            while (++i < sorted.size() && sorted.getInt(i) == last + 1) {
                last++;
            }
            text.append(text.isEmpty() ? "" : ",").append(first);
            if (last > first) {
                text.append('-').append(last);
            }
        }
        return text.toString();
    }

    /** Parses the form that {@link #format} writes. */
    static IntArrayList parse(String text) {
        var list = new IntArrayList();
        if (text.isEmpty()) {
            return list;
        }
        for (String range : text.split(",")) {
            int dash = range.indexOf('-');
            int first = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
            int last = dash < 0 ? first : Integer.parseInt(range.substring(dash + 1));
            for (int i = first; i <= last; i++) {
                list.add(i);
            }
        }
        return list;
    }
}
