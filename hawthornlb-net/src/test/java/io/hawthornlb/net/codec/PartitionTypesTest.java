package io.hawthornlb.net.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.core.job.ChunkLocation;
import io.hawthornlb.core.job.ItemAttempts;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.ItemLocation;
import io.hawthornlb.core.job.ItemOutcome;
import io.hawthornlb.core.job.ItemOutcomes;
import io.hawthornlb.core.job.ItemsDispatched;
import io.hawthornlb.core.job.ItemsHeld;
import io.hawthornlb.core.job.JobAccepted;
import io.hawthornlb.core.job.JobAnswer;
import io.hawthornlb.core.job.JobAnswerKind;
import io.hawthornlb.core.job.JobChunk;
import io.hawthornlb.core.job.JobHeader;
import io.hawthornlb.core.job.JobItem;
import io.hawthornlb.core.job.JobOutcomeGroup;
import io.hawthornlb.core.job.JobSnapshot;
import io.hawthornlb.core.job.ResultSpan;
import io.hawthornlb.core.job.SubmitJob;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.HeaderField;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.JobId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.partition.PartitionOpened;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.core.runonce.AttemptId;
import io.hawthornlb.core.runonce.EntriesRecorded;
import io.hawthornlb.core.runonce.EntriesStored;
import io.hawthornlb.core.runonce.EntryMark;
import io.hawthornlb.core.runonce.EntryState;
import io.hawthornlb.core.runonce.ForwardRunOnce;
import io.hawthornlb.core.runonce.ReplicaContents;
import io.hawthornlb.core.runonce.ReplicaSet;
import io.hawthornlb.core.runonce.ReplicasNamed;
import io.hawthornlb.core.runonce.RunOnceAnswer;
import io.hawthornlb.core.runonce.RunOnceAnswered;
import io.hawthornlb.core.runonce.RunOnceEntry;
import io.hawthornlb.core.runonce.RunOnceKey;
import io.hawthornlb.core.runonce.RunOnceRequest;
import io.hawthornlb.core.runonce.ServiceCall;
import io.hawthornlb.core.runonce.ServiceResult;
import io.hawthornlb.core.runonce.StopPoint;
import io.hawthornlb.core.runonce.StoreEntries;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PartitionTypesTest {

  private static final Instant AT = Instant.parse("2026-01-02T03:04:05.678Z");
  private static final Epoch EPOCH = new Epoch(7);
  private static final JobId JOB = new JobId("job-0-1");
  private static final InstanceId SELF = new InstanceId("i-1");
  private static final PartitionId PARTITION = new PartitionId(3);
  private static final ServiceName SERVICE = new ServiceName("log-reader");
  private static final RunOnceKey KEY = new RunOnceKey(new WorkspaceId("w"), "k");
  private static final JobHeader HEADER =
      new JobHeader(
          JOB, new WorkspaceId("w"), "k", "h", "s", 1, 2, AT, AT, Duration.ofHours(2), true);
  private static final RunOnceEntry INTENT =
      new RunOnceEntry(
          KEY, "f", new AttemptId(EPOCH, 4), EntryState.INTENT, Optional.empty(), "", AT);
  private static final RunOnceEntry DONE =
      INTENT.completed(new ServiceResult(201, List.of(new HeaderField("etag", "x")), "ok"));

  @Test
  void recordsSurviveEncoding() {
    MessagePackCodec<RecordBody> codec =
        new MessagePackCodec<>(PartitionTypes.records(TypeRegistry.builder()).build());
    List<RecordBody> bodies =
        List.of(
            new PartitionOpened(EPOCH, SELF),
            new JobChunk(
                JOB,
                "s",
                0,
                SERVICE,
                List.of(new JobItem("a", "POST", "/v1/chat/completions", "{\"ü\":1}")),
                Optional.of(1L << 40)),
            new JobAccepted(EPOCH, HEADER),
            new ItemOutcomes(
                EPOCH,
                List.of(
                    new JobOutcomeGroup(
                        JOB,
                        List.of(ItemOutcome.completed(0, "a", "{}")),
                        List.of(new ItemAttempts(1, 2)))),
                Optional.empty()),
            new EntriesRecorded(EPOCH, List.of(INTENT, DONE)),
            new ReplicasNamed(
                EPOCH,
                SELF,
                List.of(SELF),
                0,
                List.of(new ReplicaSet(EPOCH, List.of(SELF), 0)),
                Optional.of(AT)));

    bodies.forEach(body -> assertEquals(Optional.of(body), codec.decode(codec.encode(body))));
  }

  @Test
  void snapshotSurvivesEncoding() {
    MessagePackCodec<RecordBody> codec =
        new MessagePackCodec<>(PartitionTypes.records(TypeRegistry.builder()).build());
    JobSnapshot snapshot =
        new JobSnapshot(
            EPOCH,
            9,
            HEADER,
            List.of(new ChunkLocation(5, 0, 2, SERVICE)),
            new byte[] {3},
            new byte[0],
            new byte[] {1},
            List.of(new ResultSpan(8, 0, List.of(1))),
            List.of(),
            Optional.of(AT),
            true);
    byte[] bytes = codec.encode(snapshot);
    JobSnapshot decoded = (JobSnapshot) codec.decode(bytes).orElseThrow();

    assertArrayEquals(snapshot.ended(), decoded.ended());
    assertEquals(snapshot.results(), decoded.results());
    assertArrayEquals(bytes, codec.encode(decoded));
  }

  @Test
  void messagesSurviveEncoding() {
    MessagePackCodec<PeerMessage> codec =
        new MessagePackCodec<>(PartitionTypes.messages(TypeRegistry.builder()).build());
    RequestId request = new RequestId("r");
    ServiceCall call = new ServiceCall("POST", "/check-in", List.of(), "body");
    RunOnceRequest once =
        new RunOnceRequest(KEY, true, "f", SERVICE, call, AT, Duration.ofHours(1));
    ItemDispatch item =
        new ItemDispatch(JOB, new WorkspaceId("w"), new ItemLocation(1, 5, 1), AT, AT, 2, 0, true);
    List<PeerMessage> messages =
        List.of(
            new SubmitJob(SELF, request, HEADER, true),
            new JobAnswer(
                request,
                JOB,
                JobAnswerKind.REFUSED,
                Optional.of(Refusal.notRun(RefusalReason.NOT_DURABLE, "no"))),
            new ItemsDispatched(PARTITION, new EndpointId("e"), SERVICE, List.of(item)),
            new ItemsHeld(SELF, List.of(new ItemKey(JOB, 1))),
            new ForwardRunOnce(EPOCH, SELF, request, once, true),
            new RunOnceAnswered(
                request, EPOCH, Optional.of(RunOnceAnswer.stopped(StopPoint.RECOVERING, false))),
            new StoreEntries(SELF, PARTITION, EPOCH, Epoch.NONE, List.of(INTENT)),
            new EntriesStored(SELF, PARTITION, EPOCH, List.of(EntryMark.of(INTENT)), EPOCH),
            new ReplicaContents(SELF, PARTITION, EPOCH, EPOCH, 0, List.of(DONE), false));

    messages.forEach(
        message -> assertEquals(Optional.of(message), codec.decode(codec.encode(message))));
  }
}
