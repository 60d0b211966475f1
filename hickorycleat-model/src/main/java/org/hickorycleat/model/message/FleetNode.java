package org.hickorycleat.model.message;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;
import org.hickorycleat.model.identifier.ProcessId;
import org.hickorycleat.model.identifier.ZoneId;

/**
 * Identity and address of a process of the fleet.
 *
 * @param host IP address
 * @param port port on which it accepts links
 * @param capacityMilli processor capacity of the process, as far as its link carries it, in
 *     thousandths of a processor
 * @param startedAtMs start time of the process, in Unix milliseconds; of two addresses of a process
 *     the later start wins
 */
public record FleetNode(
        ProcessId process,
        ProcessRole role,
        ZoneId zone,
        String host,
        int port,
        long capacityMilli,
        long startedAtMs) {
    private static final int MAXIMUM_PORT = 65_535;
    private static final String DECIMAL_BYTE = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
    private static final Pattern IP_V4 =
            Pattern.compile(DECIMAL_BYTE + "(\\." + DECIMAL_BYTE + "){3}");
    private static final Pattern IP_V6_CHARACTERS =
            Pattern.compile("[0-9a-fA-F:][0-9a-fA-F.]*:[0-9a-fA-F:.]*");

    /** Returns whether a socket can have the address, and the host needs no name query. */
    public boolean hasValidAddress() {
        return port >= 1 && port <= MAXIMUM_PORT && isIpAddress(host);
    }

    private static boolean isIpAddress(String text) {
        if (!IP_V6_CHARACTERS.matcher(text).matches()) {
            return IP_V4.matcher(text).matches();
        }
        try {
            // A text with a colon is an address or an error, never a name to query.
            return InetAddress.getByName(text).getAddress().length > 0;
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
