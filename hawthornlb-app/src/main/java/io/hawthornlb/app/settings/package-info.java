/** Settings of an entry and catalogue files, read from checked YAML. */
@NullMarked
package io.hawthornlb.app.settings;

import org.jspecify.annotations.NullMarked;
