import { expect } from 'chai';
import { MetricsText } from './metricstext.js';

describe('MetricsText', () => {
  it('renders a header per metric and a line per sample, with label values escaped', () => {
    const text = MetricsText.render([
      {
        ...{ name: 'runs_total', help: 'runs by outcome', kind: 'counter' },
        samples: [
          { labels: { outcome: 'ok' }, value: 3 },
          { labels: { outcome: 'a"b\\c\nd' }, value: 1 },
        ],
      },
      { name: 'epoch', help: 'of the view', kind: 'gauge', samples: [{ labels: {}, value: 7 }] },
    ]);
    expect(text.split('\n')).to.deep.equal([
      '# HELP pumicebarrow_runs_total runs by outcome',
      '# TYPE pumicebarrow_runs_total counter',
      'pumicebarrow_runs_total{outcome="ok"} 3',
      'pumicebarrow_runs_total{outcome="a\\"b\\\\c\\nd"} 1',
      '# HELP pumicebarrow_epoch of the view',
      '# TYPE pumicebarrow_epoch gauge',
      'pumicebarrow_epoch 7',
      '',
    ]);
  });
});
