package io.hawthornlb.standin.report;

import java.util.List;

/** What ended in each second of a run. */
public record Series(String name, List<Long> perSecond) {}
