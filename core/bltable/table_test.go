package bltable_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bergamotlead/core/bltable"
)

func ExampleTable_With() {
	var empty bltable.Table[string, int]
	one := empty.With("pot", 1)
	two := one.With("pot", 2)
	before, _ := one.Get("pot")
	after, _ := two.Get("pot")
	fmt.Println(empty.Len(), before, after)
	// Output: 0 1 2
}

func TestTableMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table bltable.Table[int, int]
		model := map[int]int{}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			key := rapid.IntRange(0, 150).Draw(t, "key")
			if rapid.Bool().Draw(t, "remove") {
				delete(model, key)
				table = table.Without(key)
				continue
			}
			value := rapid.Int().Draw(t, "value")
			model[key] = value
			table = table.With(key, value)
		}
		if got, want := table.Len(), len(model); got != want {
			t.Fatalf("Len: got %d, want %d", got, want)
		}
		for key, got := range table.All() {
			if want := model[key]; got != want {
				t.Fatalf("value of %d: got %d, want %d", key, got, want)
			}
		}
	})
}
