package org.dunespindle.federation;

/**
 * A cell's identity and the incarnation of its state.
 *
 * @param identity a random token, generated when the cell joined the federation: a cell with the same name but a different identity
 *     is a different cell
 * @param incarnation incremented by each new leader of the cell
 * @param nonce a random token, generated with each incarnation: a cell whose state was restored from an older one may repeat an
 *     incarnation number, but not its token
 */
public record CellId(String name, String identity, long incarnation, String nonce) {
    /** Whether both are the same cell, in any incarnation. */
    public boolean sameCell(CellId other) {
        return name.equals(other.name) && identity.equals(other.identity);
    }
}
