package org.dunespindle.federation;

/**
 * Which cell speaks, and which state it speaks from.
 *
 * @param identity drawn once, when the cell first took part; another one under the same name is another cell
 * @param incarnation raised by each new leader of the cell
 * @param mark drawn with each incarnation: a cell whose state was put back to an older one repeats a number, but not its mark
 */
public record CellId(String name, String identity, long incarnation, String mark) {
    /** Whether both are the same cell, whoever leads it. */
    public boolean sameCell(CellId other) {
        return name.equals(other.name) && identity.equals(other.identity);
    }
}
