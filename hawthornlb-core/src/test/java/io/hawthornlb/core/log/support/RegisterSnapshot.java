package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.SnapshotPart;
import io.hawthornlb.core.log.WriterWindow;
import java.util.List;
import java.util.Map;

record RegisterSnapshot(
    int version,
    long upTo,
    int part,
    int parts,
    List<WriterWindow> writers,
    Map<Integer, RegisterState> registers)
    implements SnapshotPart {}
