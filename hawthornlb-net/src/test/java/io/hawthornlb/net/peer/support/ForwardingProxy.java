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

/** TCP proxy that can drop all bytes on its open connections without closing them. */
final class ForwardingProxy implements AutoCloseable {

  private final InetSocketAddress target;
  private final ServerSocket listening;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Connection> proxiedConnections = new CopyOnWriteArrayList<>();
  private volatile CountDownLatch release = new CountDownLatch(0);

  private static final class Connection {

    private final Socket near;
    private final Socket far;
    private volatile boolean dropping;

    private Connection(Socket near, Socket far) {
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

  /** Drops all further bytes on open connections without closing them; new connections work. */
  void stallOpenConnections() {
    proxiedConnections.forEach(connection -> connection.dropping = true);
  }

  /** Holds back all bytes until {@link #release}. */
  void hold() {
    release = new CountDownLatch(1);
  }

  void release() {
    release.countDown();
  }

  int connections() {
    return proxiedConnections.size();
  }

  private void accept() {
    try {
      while (true) {
        Socket near = listening.accept();
        Connection connection =
            new Connection(near, new Socket(target.getAddress(), target.getPort()));
        proxiedConnections.add(connection);
        threads.execute(() -> forward(connection, connection.near, connection.far));
        threads.execute(() -> forward(connection, connection.far, connection.near));
      }
    } catch (IOException ignored) {
      // The proxy is closed.
    }
  }

  private void forward(Connection connection, Socket from, Socket to) {
    byte[] buffer = new byte[8_192];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        release.await();
        if (!connection.dropping) {
          out.write(buffer, 0, n);
        }
      }
      if (!connection.dropping) {
        to.close();
      }
    } catch (IOException | InterruptedException ignored) {
      // One end closed the connection, which the other forwarder sees too, or the proxy is closed.
    }
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Connection connection : proxiedConnections) {
      connection.near.close();
      connection.far.close();
    }
    threads.shutdownNow();
  }
}
