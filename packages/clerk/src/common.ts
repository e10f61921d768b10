import { Flags } from '@oclif/core';

/** Flags that every command has. */
export const Common = {
  at: Flags.string({
    description: 'IP:PORT of a daemon that serves control; more may be given; else PUMICEBARROW_AT',
    multiple: true,
    multipleNonGreedy: true,
    default: () => Promise.resolve((process.env['PUMICEBARROW_AT'] ?? '127.0.0.1:8101').split(/[ ,]+/)),
  }),
  json: Flags.boolean({ description: 'print JSON' }),
};
