package io.hawthornlb.gateway.decode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class IpAddressTest {

  @Test
  void parsesFourNumbersAndAPort() {
    assertEquals(
        new InetSocketAddress("10.0.200.255", 65_535), IpAddress.parse("at", "10.0.200.255:65535"));
  }

  /** Guards against a gateway that blocks for seconds while it resolves a host name. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        ":",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:70000",
        "10.0.0.1:99999999999",
        "10.0.0.1:080",
        "10.0.0.1:+80",
        "10.0.0.1: 80",
        "10.0.0.1:80:80",
        "10.0.0:80",
        "10.0.0.1.1:80",
        "10.0.0.256:80",
        "10.0.0.01:80",
        "10..0.1:80",
        "localhost:80",
        "example.invalid:80",
        "::1:80",
        "[::1]:80",
        "\u0661\u0660.0.0.1:80"
      })
  void rejectsEverythingElse(String text) {
    assertThrows(UnreadableException.class, () -> IpAddress.parse("at", text));
  }
}
