import {createConnection} from 'node:net';
import {validateHeaderValue} from 'node:http';
import {Writable} from 'node:stream';
import {expect} from 'chai';
import fc from 'fast-check';
import {splitAddress} from '../../src/base/address.js';
import {Log, LogLevel, LogPrefix} from '../../src/base/log.js';
import {ServerEntries} from '../../platform/server-entry.js';
import {foreignText} from '../support/foreign-values.js';

const usable = {
	service: 's', address: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready', born: 9,
};

/** Calls what the program calls with the fields of an upstream. */
function useUpstream(id: string, address: string): void {
	validateHeaderValue('X-Expect-Instance', id);
	const lookup = () => {
		throw new Error(`${address} leads to a name lookup`);
	};

	const socket = createConnection({...splitAddress(address), lookup});
	socket.on('error', () => {
		// Nothing needs to listen there.
	});
	socket.destroy();
}

describe('entries of servers', () => {
	let lines: string[];
	let entries: ServerEntries;

	beforeEach(() => {
		lines = [];
		const output = new Writable({
			write(chunk, _encoding, done) {
				lines.push(String(chunk));
				done();
			},
		});
		entries = ServerEntries.create(Log.create(LogLevel.Info, output).part(LogPrefix.Platform), {z: 'region'});
	});

	// Guards against an entry of another writer with an address, an ID or a number that throws where it is used.
	it('yields from rows of every shape only upstreams that can be used, and loses no sound one beside them', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.oneof(fc.string(), fc.constantFrom('i-1', '__proto__', 'i\n', '')), foreignText(usable)), {maxLength: 6}), pairs => {
			const rows = pairs.map(([key, text], index) => ({key, text, version: index}));
			const {changed, removed} = entries.decode([...rows, {key: 'sound', text: JSON.stringify(usable), version: 99}]);
			expect(changed.length + removed.length).to.equal(rows.length + 1);
			expect(changed.some(({id}) => id === 'sound')).to.equal(true);
			for (const upstream of changed) {
				useUpstream(upstream.id, upstream.address);
				expect(upstream.slots).to.be.within(1, 100_000);
				expect(Number.isSafeInteger(upstream.startedAt)).to.equal(true);
				expect(typeof upstream.region).to.equal('string');
			}
		}), {numRuns: 2000});
	});

	it('uses only addresses that one can connect to without a name lookup', () => {
		const isUsed = (address: unknown) => entries.decode([{key: 'a', text: JSON.stringify({...usable, address}), version: 1}]).changed.length === 1;
		for (const address of ['10.0.0.1:1', '10.0.0.1:65535', '[::1]:80', '[2001:db8::10.0.0.1]:80']) {
			expect(isUsed(address), address).to.equal(true);
			useUpstream('a', address);
		}

		const withOddPort = ['0', '65536', '70000', '080', '', '80\n', '8e1'].map(port => `10.0.0.1:${port}`);
		const withOddHost = ['', '10.0.0.256', '10.0.1', 'host', 'localhost', '::1', '[::g]'].map(host => `${host}:80`);
		for (const address of [...withOddPort, ...withOddHost, '10.0.0.1', 80, null, ['10.0.0.1:80']]) {
			expect(isUsed(address), String(address)).to.equal(false);
		}
	});

	// Guards against the region of an entry being a method that every object has.
	it('takes a zone that the settings do not name as a region of its own', () => {
		const regionOf = (zone: string) => entries.decode([{key: 'a', text: JSON.stringify({...usable, zone}), version: 1}]).changed[0]!.region;
		expect(['z', 'other', '__proto__', 'constructor'].map(zone => regionOf(zone))).to.deep.equal(['region', 'other', '__proto__', 'constructor']);
	});

	// Guards against a line for each time that the whole list is read.
	it('logs a refused entry once for each of its versions, with the reason', () => {
		for (const version of [1, 1, 2, 1]) {
			entries.decode([{key: 'odd', text: JSON.stringify({...usable, slots: 0}), version}, {key: 'gone', text: undefined, version}]);
		}

		expect(lines).to.have.length(3);
		expect(JSON.parse(lines[0]!)).to.include({message: 'platform: Entry of a server not usable.', key: 'odd', storeVersion: 1});
		expect(lines[0]).to.include('slots: ');
	});
});
