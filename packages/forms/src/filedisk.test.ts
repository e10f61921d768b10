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

  it('gives back the newest version and keeps few', async () => {
    const d = await FileDisk.make(dir);
    for (let n = 1; n <= 5; n++) expect((await d.put('state', n, { n })).ok).to.equal(true);
    const got = await d.last('state');
    expect(got.val).to.deep.equal({ n: 5, v: { n: 5 }, bad: false });
    expect((await readdir(dir)).sort()).to.deep.equal(['state.4.json', 'state.5.json']);
  });
  it('tells of a half-written version each time it looks, and sets it aside when told to', async () => {
    const d = await FileDisk.make(dir);
    await d.put('vote', 1, { a: 1 });
    await d.put('vote', 2, { a: 2 });
    const path = join(dir, 'vote.2.json');
    await writeFile(path, (await readFile(path, 'utf8')).slice(0, 20));
    expect((await d.last('vote')).val).to.deep.equal({ n: 1, v: { a: 1 }, bad: true });
    expect((await d.last('vote')).val, 'looking changes nothing').to.deep.equal({ n: 1, v: { a: 1 }, bad: true });
    expect((await d.aside()).ok).to.equal(true);
    expect((await readdir(dir)).sort()).to.deep.equal(['aside.1.vote.1.json', 'aside.1.vote.2.json']);
  });
  it('does not take a changed version for a sound one', async () => {
    const d = await FileDisk.make(dir);
    await d.put('self', 1, { born: 'one' });
    const path = join(dir, 'self.1.json');
    await writeFile(path, (await readFile(path, 'utf8')).replace('one', 'two'));
    expect((await d.last('self')).val).to.deep.equal({ n: 1, v: null, bad: true });
  });
  it('leaves a file aside that was never renamed', async () => {
    const d = await FileDisk.make(dir);
    await writeFile(join(dir, 'view.9.json.tmp'), '{');
    expect((await d.last('view')).val).to.equal(null);
  });
});
