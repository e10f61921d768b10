import { SettingsReader } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Settings } from './settings.js';

const valid = {
  ...{ id: 'e1', addr: '127.0.0.1:7', http: '127.0.0.1:8', site: 's1', town: '127.0.0.1:9' },
  seeds: ['127.0.0.1:1', '127.0.0.1:2', '[::1]:3'],
};
const cases: [string, Record<string, unknown>, string[]][] = [
  ['valid settings', {}, []],
  ['a separate listen address', { hear: '127.0.0.1:17' }, []],
  ['a host name as listen address', { hear: 'host:17' }, ['/hear']],
  ['a seed named twice', { seeds: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:1'] }, ['/seeds']],
  ['two seeds', { seeds: ['127.0.0.1:1', '127.0.0.1:2'] }, ['/seeds']],
  ['a negative grace', { grace: -1 }, ['/grace']],
  ['an unknown log level', { level: 'loud' }, ['/level']],
  ['several faults in one report', { site: 7, town: 'x', more: 1 }, ['/more', '/site', '/town']],
];

describe('Settings of counterd', () => {
  for (const [name, change, expected] of cases) {
    it(`checks ${name}`, async () => {
      const result = await SettingsReader.read(Settings, undefined, { ...valid, ...change });
      expect(result.ok ? [] : [...new Set(result.val.map((f) => f.path))].sort()).to.deep.equal(expected);
    });
  }
});
