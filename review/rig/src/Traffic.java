import java.util.ArrayList;
import java.util.List;

/** Clients that work in threads until they are told to stop. */
final class Traffic {
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean isStopped = false;

    /** One step of a client, which is repeated. */
    interface Step {
        void run(Client client, int step);
    }

    /** Starts a client of [forwarder] that repeats [step], with a pause after each. */
    void repeat(Rig rig, int forwarder, int pauseMilliseconds, Step step) {
        start(() -> {
            Client client = new Client(rig.front(forwarder));
            for (int count = 0; !isStopped; count++) {
                step.run(client, count);
                Rig.pause(pauseMilliseconds);
            }
            client.close();
        });
    }

    void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
    }

    void stop() throws InterruptedException {
        isStopped = true;
        join();
    }

    /** Waits until all clients have ended. */
    void join() throws InterruptedException {
        for (Thread thread : threads) thread.join();
    }
}
