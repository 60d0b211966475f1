package org.hickorycleat.cli.admin;

import java.util.List;

/** Formats the responses of processes as human-readable text. */
@FunctionalInterface
interface AdminRenderer {
    /** Returns text in lines of at most 80 columns. */
    String render(List<AdminResponse> responses);
}
