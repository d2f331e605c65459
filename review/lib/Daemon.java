package review;

/** Creates threads that do not keep the process alive. */
final class Daemon {

  private Daemon() {}

  static Thread thread(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    return thread;
  }

  static void start(Runnable work) {
    thread(work).start();
  }
}
