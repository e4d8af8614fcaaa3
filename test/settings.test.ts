/** The settings file of completion daemons: every setting can be set, and unknown keys are rejected. */
import { expect } from 'chai';
import { DEFAULT_COMPLETION_DAEMON_SETTINGS } from '../src/daemon/completion-daemon-settings.js';
import { SettingsError } from '../src/errors/index.js';
import { checkSettings } from '../src/settings/settings.js';

const REQUIRED = {
  name: 'daemon-1',
  zone: 'a',
  callerAddress: '127.0.0.1:8100',
  peerAddress: '127.0.0.1:8101',
  operatorAddress: '127.0.0.1:8102',
  platform: ['127.0.0.1:9000'],
};

describe('settings file', () => {
  it('can set every setting of the state machine, which then has that value', () => {
    const ignored: string[] = [];
    for (const [group, defaults] of Object.entries(DEFAULT_COMPLETION_DAEMON_SETTINGS)) {
      for (const [key, value] of Object.entries(defaults as object)) {
        if (typeof value !== 'number') continue;
        const expected = value + 1;
        const settings = checkSettings({ ...REQUIRED, [group]: { [key]: expected } }) as Record<
          string,
          unknown
        >;
        if ((settings[group] as Record<string, unknown>)[key] !== expected) ignored.push(`${group}.${key}`);
      }
    }
    expect(ignored).to.deep.equal([]);
  });

  it('is rejected with the name of an unknown key', () => {
    for (const [value, key] of [
      [{ nonsense: 1 }, 'nonsense'],
      [{ picker: { nonsense: 1 } }, 'picker.nonsense'],
    ] as const) {
      const check = (): unknown => checkSettings({ ...REQUIRED, ...value });
      expect(check).to.throw(SettingsError).with.property('message').that.includes(key);
    }
  });

  it('has the default of every key that is left out', () => {
    expect(checkSettings(REQUIRED)).to.deep.include(DEFAULT_COMPLETION_DAEMON_SETTINGS);
  });
});
