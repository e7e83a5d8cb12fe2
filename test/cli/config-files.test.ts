import {expect} from 'chai';
import {
	applyEdits, formatSubtree, parseEdit, parseSubtree,
} from '../../src/cli/config-files.js';

describe('subtrees in files', () => {
	function edit(subtree: unknown, text: string): unknown {
		return applyEdits(subtree, [parseEdit(text)!]).unwrapOr('refused');
	}

	it('edits map entries whose names are numbers as well as list elements', () => {
		const subtree = {customers: {7: {weight: 1, keyDigests: ['a', 'b']}}};
		expect(edit(subtree, 'customers.7.weight=2')).to.deep.equal({customers: {7: {weight: 2, keyDigests: ['a', 'b']}}});
		expect(edit(subtree, 'customers.7.keyDigests.1=')).to.deep.equal({customers: {7: {weight: 1, keyDigests: ['a']}}});
		expect(edit(subtree, 'customers.7=')).to.deep.equal({customers: {}});
	});

	it('rejects an edit below a scalar value', () => {
		expect(edit({customers: {guest: {weight: 1}}}, 'customers.guest.weight.x=1')).to.equal('refused');
	});

	it('reads back the version that it wrote', () => {
		const parsed = parseSubtree(formatSubtree('team', 7, {operators: {}}), 'file');
		expect(parsed.unwrapOr(undefined)).to.deep.equal({subtree: {operators: {}}, fromVersion: 7});
	});
});
