package io.hawthornlb.net.peer.support;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stands between two ends and can lose track of the connections that are open. */
final class ForwardingProxy implements AutoCloseable {

  private final InetSocketAddress target;
  private final ServerSocket listening;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Pair> pairs = new CopyOnWriteArrayList<>();
  private volatile CountDownLatch release = new CountDownLatch(0);

  private static final class Pair {

    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    private Pair(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }
  }

  ForwardingProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listening.getLocalSocketAddress();
  }

  /** Open connections get no further byte and are not closed; new ones work. */
  void silenceOpenConnections() {
    pairs.forEach(pair -> pair.silent = true);
  }

  /** Bytes wait until {@link #release}. */
  void hold() {
    release = new CountDownLatch(1);
  }

  void release() {
    release.countDown();
  }

  int connections() {
    return pairs.size();
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listening.accept();
        Pair pair = new Pair(near, new Socket(target.getAddress(), target.getPort()));
        pairs.add(pair);
        threads.execute(() -> forward(pair, pair.near, pair.far));
        threads.execute(() -> forward(pair, pair.far, pair.near));
      }
    } catch (IOException ignored) {
      // The proxy is closed.
    }
  }

  private void forward(Pair pair, Socket from, Socket to) {
    byte[] buffer = new byte[8_192];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        release.await();
        if (!pair.silent) {
          out.write(buffer, 0, n);
        }
      }
      if (!pair.silent) {
        to.close();
      }
    } catch (IOException | InterruptedException ignored) {
      // One end is gone and the other forwarder sees it too, or the proxy is closed.
    }
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Pair pair : pairs) {
      pair.near.close();
      pair.far.close();
    }
    threads.shutdownNow();
  }
}
