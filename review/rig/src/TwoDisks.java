import java.util.List;

/**
 * Two machines with a disk, as many as may be lost at once, lose their disks right after a
 * configuration was acknowledged. Broken if what was acknowledged cannot be read back.
 */
final class TwoDisks {
    private static final int VERSION = 7;
    private static final int DOWN_MILLISECONDS = 800;

    /** `recovery-s` and `contact-ms` of the site, one after the other. */
    private static final int READ_SECONDS = 15 + 4;

    private TwoDisks() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, TwoDisks::run);
    }

    private static int run(Rig rig) throws Exception {
        Worker desk =
                new Worker(rig, "i-1", "desk", "zone-a", exchange -> exchange.ok("record"));
        rig.list.showNow(List.of(desk.entry()));
        rig.toleratedLosses = 2;
        // The deploy file puts one controller on the first machine of each of the three zones.
        rig.start(3, 3);
        rig.publish(document(1));
        rig.awaitReady();
        Rig.pause(6_000);
        rig.publish(document(VERSION));
        rig.log("version " + VERSION + " is acknowledged");
        if (Rig.TROUBLE) {
            for (int index = 0; index < 2; index++) rig.kill("controller-" + index);
            Rig.pause(DOWN_MILLISECONDS);
            for (int index = 0; index < 2; index++) rig.startControllerWithEmptyDisk(index);
            rig.log("controller-0 and controller-1 are back with empty disks");
        }
        boolean isRead = false;
        long end = System.nanoTime() + READ_SECONDS * 1_000_000_000L;
        for (int attempt = 0; System.nanoTime() < end && !isRead; attempt++) {
            Rig.Answer answer = rig.order(attempt % 3, "GET", "/hibiscusproxy/config", "");
            isRead = answer.status() == 200 && answer.body().equals(document(VERSION));
            if (attempt % 9 < 3 || isRead) {
                rig.log("read at controller-" + attempt % 3 + ": status " + answer.status()
                        + (isRead ? ", version " + VERSION : ""));
            }
            Rig.pause(200);
        }
        rig.log("acknowledged configuration read back: " + isRead);
        Rig.Answer change = rig.order(2, "PUT", "/hibiscusproxy/config", document(VERSION + 1));
        rig.log("a further change: status " + change.status());
        return isRead ? Rig.HELD : Rig.BROKEN;
    }

    private static String document(int version) {
        return Configurations.document(version, List.of(Configurations.plain("desk")), List.of(
                Configurations.route("lookup", "safe", 800, 300, "desk", 2, false)));
    }
}
