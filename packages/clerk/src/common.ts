import { Flags } from '@oclif/core';

/** Flags that every command has. */
export const CommonFlags = {
  at: Flags.string({
    description: 'IP:PORT of a daemon that serves control; more may be given; else PUMICEBARROW_AT',
    multiple: true,
    multipleNonGreedy: true,
  }),
  daemon: Flags.string({
    description: "IP:PORT of a router's or control replica's own wire; more may be given; else PUMICEBARROW_DAEMONS",
    multiple: true,
    multipleNonGreedy: true,
    exclusive: ['at'],
  }),
  json: Flags.boolean({ description: 'print JSON' }),
};
