package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.ScriptedEndpoint.After;
import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LateCopyItemTest {

  private static final String WHOLE =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-Signature: s\r\n"
          + "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

  /** Guards against a late copy of an answer that counts as the answer to the item's next run. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "500 Failed\r\nTest-Id: {id}\r\nTest-Signature: s\r\n",
        "504 Late\r\nTest-Id: {id}\r\nTest-Signature: s\r\n",
        "421 Other\r\nTest-Id: {id}\r\n",
        "503 Full\r\nTest-Id: {id}\r\nTest-Not-Run: 1\r\n",
        "429 Full\r\nTest-Id: {id}\r\nTest-Not-Run: 1\r\n",
        "200 OK\r\nTest-Id: {id}\r\n"
      })
  void takesNoCopyForTheAnswerToTheNextRun(String first) throws IOException {
    try (HolderFixture holder = new HolderFixture()) {
      holder
          .endpoint()
          .then("HTTP/1.1 " + first + "Content-Length: 0\r\n\r\n", After.KEEP_AND_REPEAT)
          .then(WHOLE, After.KEEP);
      holder.start(JobFixture.config(2));
      assertEquals(new JobResult("i1", true, "a"), holder.result());
      assertEquals(2, holder.endpoint().requests().size());
    }
  }
}
