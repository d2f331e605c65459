package io.hawthornlb.core.log.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.InstanceId;
import org.junit.jupiter.api.Test;

class DuplicateFilterTest {

  private final DuplicateFilter filter = new DuplicateFilter();

  @Test
  void passesEachRecordOnceInAnyOrder() {
    assertTrue(filter.isFirst(id("a", 5)));
    assertTrue(filter.isFirst(id("a", 3)));
    assertFalse(filter.isFirst(id("a", 5)));
    assertFalse(filter.isFirst(id("a", 3)));
    assertTrue(filter.isFirst(id("b", 3)));
  }

  @Test
  void dropsRecordsBelowTheWindow() {
    for (int sequence = 1; sequence <= DuplicateFilter.WINDOW + 1; sequence++) {
      assertTrue(filter.isFirst(id("a", sequence)));
    }
    assertFalse(filter.isFirst(id("a", 1)));
    assertFalse(filter.isFirst(id("a", 0)));
  }

  @Test
  void removesTheWriterWithTheOldestLastRecord() {
    filter.isFirst(id("old", 1));
    for (int writer = 0; writer < DuplicateFilter.MAX_WRITERS; writer++) {
      filter.isFirst(id("w" + writer, 1));
    }
    assertEquals(DuplicateFilter.MAX_WRITERS, filter.windows().size());
    assertTrue(filter.isFirst(id("old", 1)));
  }

  @Test
  void copyFiltersLikeTheOriginal() {
    for (int sequence = 0; sequence < 200; sequence += 2) {
      filter.isFirst(id("a", sequence));
      filter.isFirst(id("b" + sequence, 1));
    }
    DuplicateFilter copy = new DuplicateFilter();
    copy.install(filter.windows());

    assertEquals(filter.windows(), copy.windows());
    assertFalse(copy.isFirst(id("a", 198)));
    assertTrue(copy.isFirst(id("a", 197)));
  }

  private static RecordId id(String writer, long sequence) {
    return new RecordId(new InstanceId(writer), sequence);
  }
}
