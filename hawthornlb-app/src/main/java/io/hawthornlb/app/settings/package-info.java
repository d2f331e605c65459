/** Settings of an entry instance and catalogue files: YAML readers, writers and validation. */
@NullMarked
package io.hawthornlb.app.settings;

import org.jspecify.annotations.NullMarked;
