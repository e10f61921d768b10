import { expect } from 'chai';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Type } from 'typebox';
import { Addr } from './addr.js';
import { SettingsReader } from './settingsreader.js';

const schema = Type.Object(
  { id: Type.String(), addr: Addr, seeds: Type.Array(Addr, { minItems: 3, uniqueItems: true }) },
  { additionalProperties: false },
);
const seeds = ['127.0.0.1:1', '127.0.0.1:2', '[::1]:3'];
const cases: [string, string, Record<string, unknown>, string[]][] = [
  ['a valid file', JSON.stringify({ id: 'e1', addr: '127.0.0.1:7', seeds }), {}, []],
  ['flags that override the file', JSON.stringify({ id: 'e1', addr: 'host:7', seeds }), { addr: '127.0.0.1:7' }, []],
  ['a host name instead of an IP address', JSON.stringify({ id: 'e1', addr: 'host:7', seeds }), {}, ['/addr']],
  ['a port too high', JSON.stringify({ id: 'e1', addr: '127.0.0.1:70000', seeds }), {}, ['/addr']],
  ['too few seeds', JSON.stringify({ id: 'e1', addr: '127.0.0.1:7', seeds: seeds.slice(1) }), {}, ['/seeds']],
  ['a duplicate seed', JSON.stringify({ id: 'e1', addr: '127.0.0.1:7', seeds: [...seeds, seeds[0]] }), {}, ['/seeds']],
  ['an unknown key', JSON.stringify({ id: 'e1', addr: '127.0.0.1:7', seeds, extra: 1 }), {}, ['/extra']],
  ['two missing keys', JSON.stringify({ seeds }), {}, ['/id', '/addr']],
];

describe('SettingsReader', () => {
  let dir = '';
  before(async () => {
    dir = await mkdtemp(join(tmpdir(), 'pb-'));
  });
  after(() => rm(dir, { recursive: true }));
  for (const [name, text, flags, paths] of cases) {
    it(`reads ${name} and reports its faults by path`, async () => {
      const file = join(dir, 'settings.json');
      await writeFile(file, text);
      const settings = await SettingsReader.read(schema, file, flags);
      expect(settings.ok ? [] : settings.val.map((f) => f.path).sort()).to.deep.equal([...paths].sort());
    });
  }
  it('names a settings file that is not JSON', async () => {
    const file = join(dir, 'bad.json');
    await writeFile(file, '{');
    const settings = await SettingsReader.read(schema, file, {});
    expect(settings.err && settings.val[0]!.path).to.equal(file);
  });
});
