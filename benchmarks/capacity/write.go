package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot/plotter"

	"olivearch/internal/report"
)

// write writes the figures and their plots into the folder for results.
func (r *rig) write() error {
	text, err := json.MarshalIndent(r.Figures, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.out, r.name+".json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	if err := r.tables(); err != nil {
		return err
	}
	first := map[string]float64{}
	for _, row := range r.Rows {
		if row.Factor == all && row.Size == smallest {
			first["resident"] = row.ResidentMB
		}
	}
	for _, x := range []struct {
		name, title, unit string
		of                func(*Row) float64
		bound             float64
	}{
		{"ready", "Time to ready", "ms", func(r *Row) float64 { return r.ReadyMS }, readyMost},
		{"idle", "CPU of an idle process", "part of a core", func(r *Row) float64 { return r.IdleCPU }, idleMost},
		{"resident", "Resident memory over the smallest configuration's", "MB", func(r *Row) float64 { return r.ResidentMB - first["resident"] }, residentMost},
		{"comment", "CPU of a reload in which one comment line differs", "ms", cost(comment), changeMost},
		{"drain", "CPU of a drain in a small list", "ms", cost(drain), changeMost},
	} {
		var curves []report.Curve
		for _, f := range factorsByName {
			if points := r.points(f.name, f.part, x.of); len(points) > 0 {
				curves = append(curves, report.Curve{Name: f.name, Points: points})
			}
		}
		if err := r.curves(x.name, x.title, "part of the planned size", x.unit, curves, x.bound); err != nil {
			return err
		}
	}
	for _, x := range []struct {
		name, title, unit string
		of                func(kind string) func(*Row) float64
		bound             float64
	}{
		{"change-cpu", "CPU of one change, all sizes together", "ms", cost, changeMost},
		{"in-force", "From a change to in force, all sizes together", "ms", delay, inForceMost},
	} {
		var curves []report.Curve
		for _, kind := range kinds {
			if points := r.points(all, factorsByName[len(factorsByName)-1].part, x.of(kind)); len(points) > 0 {
				curves = append(curves, report.Curve{Name: kind, Points: points})
			}
		}
		if err := r.curves(x.name, x.title, "part of the planned size", x.unit, curves, x.bound); err != nil {
			return err
		}
	}
	return nil
}

// factorsByName say which part of the planned size a row has of its factor.
var factorsByName = []struct {
	name string
	part func(*Row) float64
}{
	{"pools", func(r *Row) float64 { return float64(r.Pools) / float64(planned.Pools) }},
	{"nodes", func(r *Row) float64 { return float64(r.Nodes) / float64(planned.Nodes) }},
	{"routes", func(r *Row) float64 { return float64(r.Routes) / float64(planned.Routes) }},
	{"tenants", func(r *Row) float64 { return float64(r.Tenants) / float64(planned.Tenants) }},
	{all, func(r *Row) float64 { return float64(r.Pools) / float64(planned.Pools) }},
}

func (r *rig) points(factor string, x, y func(*Row) float64) (xy plotter.XYs) {
	for _, row := range r.Rows {
		if at := y(row); row.Factor == factor && row.Why == "" && !math.IsNaN(at) {
			xy = append(xy, plotter.XY{X: x(row), Y: at})
		}
	}
	return xy
}

func (r *rig) curves(name, title, x, y string, curves []report.Curve, bound float64) error {
	if len(curves) == 0 {
		return nil
	}
	if err := report.Curves(filepath.Join(r.out, r.name+"-"+name+".svg"), title, x, y, curves, bound); err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	return nil
}
