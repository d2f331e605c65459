package io.hawthornlb.net.peer.support;

import io.hawthornlb.net.tls.PeerSecurity;
import io.hawthornlb.net.tls.TlsFiles;
import io.hawthornlb.net.tls.support.MutualTlsPeerSecurity;
import java.net.URISyntaxException;
import java.nio.file.Path;

/** Key files under the test resources. */
public final class TestKeys {

  private TestKeys() {}

  /** Returns the path of a file in the test resources. */
  public static Path file(String name) {
    try {
      return Path.of(TestKeys.class.getResource("/tls/" + name).toURI());
    } catch (URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the key files of an instance, with the given trusted certificates. */
  public static TlsFiles files(String instance, String trust) {
    return new TlsFiles(file(instance + ".pem"), file(instance + "-key.pem"), file(trust + ".pem"));
  }

  static PeerSecurity security(String instance, String trust) {
    return new MutualTlsPeerSecurity(files(instance, trust));
  }
}
