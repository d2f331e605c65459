package io.hawthornlb.app.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EntryCommandsTest {

  private static final String CATALOGUE =
      """
      services:
        brief-llm: {owner: coordination, kind: engine}
      workspaces: {}
      """;

  private final CommandLineFixture hawthornlb =
      new CommandLineFixture(Map.of("HAWTHORNLB_KEY", "from-environment", "USER", "amal"));

  @TempDir private Path folder;
  private FakeEntry entry;

  @BeforeEach
  void start() throws IOException {
    entry = new FakeEntry();
  }

  @AfterEach
  void stop() {
    entry.close();
  }

  private ExitCode run(String call) {
    return hawthornlb.run((call + " --entry " + entry.address()).split(" "));
  }

  private String file(String name, String content) throws IOException {
    return Files.writeString(folder.resolve(name), content).toString();
  }

  // Guards against a lost update: two operators fetch the catalogue, edit it and put it back, and
  // the second put silently undoes the change of the first. The file therefore carries the revision
  // at which it was fetched, and put sends this revision in the If-Match header.
  @Test
  void putSendsTheRevisionThatShowWrote() throws IOException {
    String shown = "{\"revision\":12,\"yaml\":\"services: {}\\nworkspaces: {}\\n\"}";
    entry.respond("GET /v1/catalogue", 200, shown);
    assertEquals(ExitCode.OK, run("catalogue show"));
    assertEquals("# revision: 12\nservices: {}\nworkspaces: {}\n", hawthornlb.results());
    String file = file("c.yaml", "# revision: 12\n" + CATALOGUE);

    entry.respond("PUT /v1/catalogue", 200, "{\"revision\":15}");
    assertEquals(ExitCode.OK, run("catalogue put " + file));
    assertEquals("in force as revision 15\n", hawthornlb.results());
    assertEquals("12", entry.lastCall().header("If-match"));
    assertEquals("amal", entry.lastCall().header("X-author"));
    assertEquals("Bearer from-environment", entry.lastCall().header("Authorization"));
    assertEquals("# revision: 12\n" + CATALOGUE, entry.lastCall().body());

    entry.respond("PUT /v1/catalogue", 409, "{\"detail\":\"edit 14 by samira came first\"}");
    assertEquals(ExitCode.FAILED, run("catalogue put " + file));
    assertTrue(hawthornlb.errors().contains("edit 14 by samira came first"));

    assertEquals(ExitCode.FAILED, run("catalogue put --json --revision 14 " + file));
    assertEquals("14", entry.lastCall().header("If-match"));
    assertTrue(hawthornlb.results().contains("\"error\":\"refused with status 409"));
  }

  @Test
  void rejectsPutWithoutARevision() throws IOException {
    assertEquals(ExitCode.USAGE_ERROR, run("catalogue put " + file("c.yaml", CATALOGUE)));
    assertTrue(hawthornlb.errors().contains("--revision"));
  }

  @Test
  void validatesFilesBeforeSendingThem() throws IOException {
    String invalid = file("c.yaml", CATALOGUE.replace("engine", "engin"));
    assertEquals(ExitCode.USAGE_ERROR, run("catalogue check " + invalid));
    assertTrue(hawthornlb.errors().contains("c.yaml:2: services.brief-llm.kind: expected"));

    String valid = file("d.yaml", CATALOGUE);
    assertEquals(ExitCode.OK, run("catalogue check " + valid));
    entry.respond(
        "POST /v1/catalogue/check",
        422,
        "{\"findings\":[{\"source\":\"body\",\"line\":2,\"path\":\"services\","
            + "\"message\":\"x\"}]}");
    assertEquals(ExitCode.USAGE_ERROR, run("catalogue check --by-entry " + valid));
    assertTrue(hawthornlb.errors().contains("body:2: services: x"));
  }

  @Test
  void printsTheHistoryOfEdits() {
    entry.respond(
        "GET /v1/catalogue/history",
        200,
        "{\"edits\":[{\"revision\":3,\"at\":\"2026-12-02T10:00:00Z\",\"author\":\"amal\"}]}");

    assertEquals(ExitCode.OK, run("catalogue history"));
    assertEquals("3  2026-12-02T10:00:00Z  amal\n", hawthornlb.results());
  }

  @Test
  void submitsJobs() throws IOException {
    String items = file("items.ndjson", "{\"custom_id\":\"a\"}\n");
    String key = file("key", " from-file \n");
    entry.respond("POST /v1/jobs", 202, "{\"id\":\"j-1\"}");
    String call = "job submit --idempotency-key k --key-file " + key + " " + items + " --due ";

    assertEquals(ExitCode.OK, run(call + "2026-12-02T18:00:00Z"));
    assertEquals("accepted as job j-1\n", hawthornlb.results());
    assertEquals("k", entry.lastCall().header("Idempotency-key"));
    assertEquals("2026-12-02T18:00:00Z", entry.lastCall().header("Due"));
    assertEquals("Bearer from-file", entry.lastCall().header("Authorization"));
    assertEquals("{\"custom_id\":\"a\"}\n", entry.lastCall().body());

    assertEquals(ExitCode.USAGE_ERROR, run(call + "tomorrow"));
  }

  @Test
  void readsAllPagesOfResults() {
    entry.respond(
        "GET /v1/jobs/j-1/results", 200, "{\"custom_id\":\"a\"}\n", Map.of("Next-Cursor", "1 2"));
    entry.respond("GET /v1/jobs/j-1/results?cursor=1 2", 200, "{\"custom_id\":\"b\"}\n");

    assertEquals(ExitCode.OK, run("job results j-1"));
    assertEquals("{\"custom_id\":\"a\"}\n{\"custom_id\":\"b\"}\n", hawthornlb.results());
  }

  @Test
  void showsAndCancelsJobs() {
    String status =
        "{\"id\":\"j-1\",\"status\":\"running\",\"due\":\"2026-12-02T18:00:00Z\","
            + "\"counts\":{\"total\":9,\"completed\":3,\"failed\":1,\"cancelled\":0}}";
    entry.respond("GET /v1/jobs/j-1", 200, status);
    entry.respond("POST /v1/jobs/j-1/cancel", 200, "{\"id\":\"j-1\",\"status\":\"cancelled\"}");

    assertEquals(ExitCode.OK, run("job status j-1"));
    assertEquals(
        "j-1 running: 3 of 9 items completed, 1 failed, due 2026-12-02T18:00:00Z\n",
        hawthornlb.results());
    assertEquals(ExitCode.OK, run("job status j-1 --json"));
    assertEquals(status + "\n", hawthornlb.results());
    assertEquals(ExitCode.OK, run("job cancel j-1"));
    assertEquals("j-1 cancelled\n", hawthornlb.results());
  }

  @Test
  void failsIfTheEntryIsUnreachable() {
    String address = entry.address();
    entry.close();

    assertEquals(ExitCode.FAILED, hawthornlb.run("catalogue", "show", "--entry", address));
    assertTrue(hawthornlb.errors().contains("no answer from " + address));
    assertEquals(ExitCode.USAGE_ERROR, hawthornlb.run("catalogue", "show", "--entry", "entry-1"));
  }
}
