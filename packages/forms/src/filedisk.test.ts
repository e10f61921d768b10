import { expect } from 'chai';
import { mkdtemp, readFile, readdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { FileDisk } from './filedisk.js';

describe('FileDisk', () => {
  let dir = '';
  beforeEach(async () => {
    dir = await mkdtemp(join(tmpdir(), 'pb-'));
  });
  afterEach(() => rm(dir, { recursive: true }));

  it('reads the newest version and keeps two', async () => {
    const disk = await FileDisk.make(dir);
    for (let n = 1; n <= 5; n++) expect((await disk.put('state', n, { n })).ok).to.equal(true);
    const latest = await disk.latest('state');
    expect(latest.val).to.deep.equal({ n: 5, v: { n: 5 }, bad: false });
    expect((await readdir(dir)).sort()).to.deep.equal(['state.4.json', 'state.5.json']);
  });
  it('reports a truncated version at every read, and sets all files aside on request', async () => {
    const disk = await FileDisk.make(dir);
    await disk.put('vote', 1, { a: 1 });
    await disk.put('vote', 2, { a: 2 });
    const path = join(dir, 'vote.2.json');
    await writeFile(path, (await readFile(path, 'utf8')).slice(0, 20));
    expect((await disk.latest('vote')).val).to.deep.equal({ n: 1, v: { a: 1 }, bad: true });
    expect((await disk.latest('vote')).val, 'reading changes nothing').to.deep.equal({ n: 1, v: { a: 1 }, bad: true });
    expect((await disk.setAside()).ok).to.equal(true);
    expect((await readdir(dir)).sort()).to.deep.equal(['aside.1.vote.1.json', 'aside.1.vote.2.json']);
  });
  it('detects a version whose content was altered', async () => {
    const disk = await FileDisk.make(dir);
    await disk.put('self', 1, { born: 'one' });
    const path = join(dir, 'self.1.json');
    await writeFile(path, (await readFile(path, 'utf8')).replace('one', 'two'));
    expect((await disk.latest('self')).val).to.deep.equal({ n: 1, v: null, bad: true });
  });
  it('ignores a temporary file that was never renamed', async () => {
    const disk = await FileDisk.make(dir);
    await writeFile(join(dir, 'view.9.json.tmp'), '{');
    expect((await disk.latest('view')).val).to.equal(null);
  });
});
