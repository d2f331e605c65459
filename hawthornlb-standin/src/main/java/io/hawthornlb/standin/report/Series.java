package io.hawthornlb.standin.report;

import java.util.List;

/** The number of answered requests or ended batch items of one series in each second of a run. */
public record Series(String name, List<Long> perSecond) {}
