import { relative } from 'node:path';
import Mocha from 'mocha';
import collect from 'mocha/lib/cli/collect-files.js';
import options from 'mocha/lib/cli/options.js';

const walk = (suite) => [...suite.tests, ...suite.suites.flatMap(walk)];

/** All tests there are, in the order of their files: title, file, and whether it is one that is skipped. */
export const Found = {
  async of(specs) {
    // The patterns of .mocharc.json come back as positional arguments.
    const opts = options.loadOptions([]);
    const more = { extension: opts.extension, file: [], ignore: [], recursive: false, sort: false, spec: opts._ };
    const mocha = new Mocha({ timeout: opts.timeout });
    for (const f of specs.length > 0 ? specs : collect(more).files) mocha.addFile(f);
    await mocha.loadFilesAsync();
    const found = walk(mocha.suite).map((t) => ({ title: t.fullTitle(), file: t.file, path: relative('.', t.file) }));
    return { found, timeout: Number(opts.timeout) };
  },
};
