// One process of tests: runs the tests that it is told of in one file, and reports each.
import { inspect } from 'node:util';
import Mocha from 'mocha';

const plain = (s) => s.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
const [file] = process.argv.slice(2);
const { titles, timeout } = await new Promise((done) => void process.once('message', done));
const say = (m) => process.connected && process.send(m);
const report = (t, state, e) => say({ what: 'test', title: t.fullTitle(), state, ms: t.duration ?? 0, why: e ? inspect(e) : '' });
const mocha = new Mocha({ timeout, reporter: class {} });
mocha.addFile(file);
await mocha.loadFilesAsync();
mocha.grep(new RegExp(`^(?:${titles.map(plain).join('|')})$`));
mocha
  .run(() => {
    process.send({ what: 'over' }, () => process.exit(0));
  })
  .on('test', (t) => say({ what: 'begin', title: t.fullTitle() }))
  .on('pass', (t) => report(t, 'passed'))
  .on('pending', (t) => report(t, 'skipped'))
  .on('fail', (t, e) => report(t, 'failed', e));
