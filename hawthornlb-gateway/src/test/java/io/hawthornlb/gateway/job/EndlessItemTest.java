package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.ScriptedEndpoint.After;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EndlessItemTest {

  private static final String WHOLE =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\n"
          + "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

  /** Guards against an item that waits for the end of bytes without end, which fill the heap. */
  @ParameterizedTest
  @CsvSource({
    "200 OK%r%nTest-Signature: s,data: x",
    "200 OK%r%nTest-Signature: s,: x%n%n",
    "200 OK%r%nTest-Signature: s,data: x%n%n",
    "200 OK,x",
    "500 Failed%r%nTest-Signature: s,x",
    "503 Full%r%nTest-Not-Run: 1,x"
  })
  void runsAnItemAgainWhoseAnswerHasNoEnd(String head, String piece) throws Exception {
    try (HolderFixture holder = new HolderFixture()) {
      holder
          .endpoint()
          .endlesslyOnce("HTTP/1.1 " + lines(head) + "\r\nTest-Id: {id}\r\n\r\n", lines(piece))
          .then(WHOLE, After.KEEP);
      holder.start(JobFixture.config(2));
      assertEquals(new JobResult("i1", true, "a"), holder.result());
      assertTrue(holder.endpoint().callerDisconnected().await(2, TimeUnit.SECONDS));
    }
  }

  /** Guards against an item that ends by the status or the events of an answer that is broken. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 OK%r%nTest-Signature: s%r%nContent-Length: 15",
        "200 OK%r%nTest-Signature: s%r%nX Y: v%r%nContent-Length: 15",
        "200 OK%r%nTest-Signature: s%r%nContent-Length x: 0",
        "422 No%r%nTest-Signature: s%r%nX Y: v%r%nContent-Length: 15",
        "500 Failed%r%nTest-Signature: s%r%nX : v%r%nContent-Length: 15"
      })
  void runsAnItemAgainWhoseAnswerIsBroken(String head) throws Exception {
    try (HolderFixture holder = new HolderFixture()) {
      String broken = "HTTP/1.1 " + lines(head) + "\r\nTest-Id: {id}\r\n\r\nid: 1\ndata: b\n\n";
      holder.endpoint().then(broken, After.KEEP).then(broken, After.KEEP).then(WHOLE, After.KEEP);
      holder.start(JobFixture.config(2));
      assertEquals(new JobResult("i1", true, "a"), holder.result());
    }
  }

  private static String lines(String text) {
    return text.replace("%r", "\r").replace("%n", "\n");
  }
}
