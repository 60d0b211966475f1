package org.hickorycleat.cli.admin;

import java.util.List;

/** Lays out the answers of processes for people. */
@FunctionalInterface
interface AdminRenderer {
    /** Returns lines of at most 80 columns. */
    String render(List<AdminResponse> answers);
}
