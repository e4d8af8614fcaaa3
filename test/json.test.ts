import { expect } from 'chai';
import { parseJson } from '../src/shared/json.js';

describe('JSON from untrusted sources', () => {
  it('is parsed when it is valid', () => {
    expect(parseJson('{"a":[1,null]}')).to.deep.equal({ value: { a: [1, null] }, reason: undefined });
    expect(parseJson('null')).to.deep.equal({ value: null, reason: undefined });
  });

  it('gives a reason when it is invalid, which never quotes the text', () => {
    const texts = [
      '',
      '{"key":"secret',
      'secret',
      '{"key":"secret"]',
      '{"key":secret}',
      '["secret",]',
      '{secret:1}',
    ];
    for (const text of texts) {
      const { value, reason } = parseJson(text);
      expect(value, text).to.equal(undefined);
      expect(reason, text).to.be.a('string').that.does.not.include('secret');
    }
  });
});
