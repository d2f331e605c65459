package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Covers which workspace may read, end and submit a job. */
class JobOwnershipTest {

  private static final Workspace FARM = workspace("farm");
  private static final Workspace STORE = workspace("store");
  private static final JobCall READ = new JobCall.Read("j", 0, Duration.ZERO);
  private static final JobCall READ_BODY = new JobCall.ReadBody("j", "i1");
  private static final JobCall END = new JobCall.End("j");

  private final VirtualLoop time = new VirtualLoop();
  private final RecordingStore store = new RecordingStore(time);
  private final JobReplicas replicas = new JobReplicas(store, 2, time.loop());

  /** Log that records the keys of all records. */
  private static final class RecordingStore extends InMemoryLogStore {

    private final List<String> keys = new ArrayList<>();

    private RecordingStore(VirtualLoop time) {
      super(time.loop(), 2);
    }

    @Override
    public CompletionStage<Appended> append(AppendCall call) {
      call.records().stream().map(KeyedRecord::key).forEach(keys::add);
      return super.append(call);
    }
  }

  /** Guards against a workspace that learns of another one's job, reads it or ends it. */
  @Test
  void answersAnotherWorkspaceAsIfTheJobDidNotExist() {
    assertEquals(202, call(submit("body"), FARM).status());
    int records = store.keys.size();
    for (JobCall call : List.of(READ, READ_BODY, END)) {
      assertEquals(404, call(call, STORE).status());
      assertEquals(404, call(call, null).status());
    }
    assertEquals(records, store.keys.size());
    assertEquals("0 of 1 from 0", call(READ, FARM).text());
    assertEquals("body", call(READ_BODY, FARM).text());
    assertEquals(200, call(END, FARM).status());
  }

  /** Guards against a job that another workspace replaces by submitting its id again. */
  @Test
  void keepsJobsOfTwoWorkspacesWithTheSameIdApart() {
    assertEquals(202, call(submit("first"), FARM).status());
    assertEquals(202, call(submit("second"), STORE).status());
    assertEquals("first", call(READ_BODY, FARM).text());
    assertEquals("second", call(READ_BODY, STORE).text());
    assertEquals(200, call(END, STORE).status());
    assertEquals("first", call(READ_BODY, FARM).text());
  }

  /** Guards against a job that is accepted twice because its caller uses another key. */
  @Test
  void acceptsAJobOnceForAllKeysOfItsWorkspace() {
    call(submit("first"), FARM);
    call(READ, FARM);
    int records = store.keys.size();
    assertEquals(202, call(submit("first"), workspace("farm")).status());
    assertEquals(records, store.keys.size());
  }

  /** Guards against losing the jobs that the former version accepted, after an update. */
  @Test
  void readsAndEndsJobsThatTheFormerVersionAccepted() {
    Job former = Job.ofFormerVersion("j", "h", Instant.EPOCH, items("former"));
    int partition = replicas.partition("j");
    store.append(new AppendCall(JobReplicas.TOPIC, partition, JobRecords.accepted(former), null));
    assertEquals("former", call(READ_BODY, FARM).text());
    assertEquals(200, call(END, FARM).status());
    assertTrue(store.keys.contains(JobRecords.end("j").key()));
  }

  /**
   * Guards against a workspace that reads or ends the job of an anonymous caller who chose the same
   * id, or whose own job is acknowledged but not stored.
   */
  @Test
  void keepsJobsOfAnonymousCallersAndWorkspacesApart() {
    assertEquals(202, call(submit("anonymous"), null).status());
    assertEquals("anonymous", call(READ_BODY, null).text());
    for (JobCall call : List.of(READ, READ_BODY, END)) {
      assertEquals(404, call(call, FARM).status());
    }
    assertEquals(202, call(submit("own"), FARM).status());
    assertEquals("own", call(READ_BODY, FARM).text());
    assertEquals(200, call(END, FARM).status());
    assertEquals("anonymous", call(READ_BODY, null).text());
  }

  /** Guards against an anonymous caller that names the stored id of a job of a workspace. */
  @Test
  void refusesTheStoredIdOfAJobOfAWorkspace() {
    call(submit("body"), FARM);
    String stored = JobScope.storedId("j", FARM.id());
    assertEquals(400, call(new JobCall.ReadBody(stored, "i1"), null).status());
    assertEquals(404, call(new JobCall.ReadBody(stored, "i1"), STORE).status());
    assertEquals(400, call(new JobCall.Submit(stored, items("x")), null).status());
  }

  /** Guards against records of a job that go to a partition where its caller does not look. */
  @Test
  void storesAJobInThePartitionOfTheIdThatItsCallerChose() {
    for (int i = 0; i < 50; i++) {
      String id = "job-" + i;
      String stored = JobScope.storedId(id, FARM.id());
      assertEquals(replicas.partition(id), replicas.partition(stored));
      assertEquals(id, JobScope.callerId(stored));
    }
  }

  /** Guards against a job whose items run for no workspace after another process has read it. */
  @Test
  void recordsTheWorkspaceOfAJob() {
    Job job = new Job("j", "h", Instant.EPOCH, items("x"), FARM.id());
    JobTable table = new JobTable();
    JobRecords.accepted(job).forEach(table::apply);
    assertEquals(FARM.id(), table.find("j").orElseThrow().workspace().orElseThrow());
    Job anonymous = new Job("k", "h", Instant.EPOCH, items("x"));
    JobRecords.accepted(anonymous).forEach(table::apply);
    assertFalse(table.find("k").orElseThrow().workspace().isPresent());
  }

  private RecordingResponder call(JobCall call, @Nullable Workspace workspace) {
    FixedJobFormat format = new FixedJobFormat(call);
    JobRequestRouter router =
        new JobRequestRouter(
            replicas,
            new JobService(replicas, store, format, time.loop(), time, new RecordingEventLog()),
            format,
            new ScriptedJobPeers("g1"),
            partition -> true,
            () -> CompletableFuture.completedFuture(Map.of()),
            time.loop(),
            time,
            new RecordingEventLog());
    RecordingResponder responder = new RecordingResponder();
    FrontRequest request =
        new FrontRequest(
            HttpMethod.GET,
            "/",
            "/",
            "h",
            new DefaultHttpHeaders(),
            new byte[0],
            time.instant(),
            workspace);
    router.handle(request, responder);
    time.advance(Duration.ofMillis(5));
    return responder;
  }

  private static JobCall submit(String body) {
    return new JobCall.Submit("j", items(body));
  }

  private static List<JobItem> items(String body) {
    return List.of(new JobItem("i1", "/p", Map.of(), body.getBytes()));
  }

  private static Workspace workspace(String name) {
    return new Workspace(new WorkspaceId(name), null, null);
  }
}
